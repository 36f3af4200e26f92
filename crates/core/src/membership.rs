//! Entry hosts that are live, suspected, leaving or gone.
