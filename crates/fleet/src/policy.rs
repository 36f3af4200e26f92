//! Decisions that the settings of a deployment turn on; all are off by default.

/// What the settings turn on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Policy {
    /// Whether jobs that can no longer meet their objective wait behind those that can, see [`crate::urgency`].
    pub orders_by_urgency: bool,
    /// Whether best-effort tasks are placed by the load that service tasks are expected to reach rather than by that of the
    /// last report, see [`crate::headroom`].
    pub plans_for_load_swings: bool,
}
