//! Equal service among teams and clients.
