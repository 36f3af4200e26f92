//! Slots, connections, bounded queues and the retry budget of requests.
