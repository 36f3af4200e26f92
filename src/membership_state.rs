//! Life cycle of this host's membership.

use primrosestack_core::membership::{
    Active, Leaving, Load, MemberAction, MemberEvent, MemberView, Membership,
};
use primrosestack_core::time::MonoMs;

/// Membership of this host, which leaves before it stops.
pub(crate) enum MembershipState {
    Active(Membership<Active>),
    Leaving(Membership<Leaving>),
}

impl MembershipState {
    pub(crate) fn handle(
        &mut self,
        now: MonoMs,
        event: MemberEvent,
        actions: &mut Vec<MemberAction>,
    ) {
        match self {
            Self::Active(membership) => membership.handle(now, event, actions),
            Self::Leaving(membership) => membership.handle(now, event, actions),
        }
    }

    pub(crate) fn leave(self, now: MonoMs, load: Load, actions: &mut Vec<MemberAction>) -> Self {
        match self {
            Self::Active(membership) => Self::Leaving(membership.leave(now, load, actions)),
            Self::Leaving(_) => self,
        }
    }

    pub(crate) fn members(&self) -> Vec<MemberView> {
        match self {
            Self::Active(membership) => membership.members().cloned().collect(),
            Self::Leaving(membership) => membership.members().cloned().collect(),
        }
    }

    pub(crate) fn live(&self) -> Vec<&str> {
        match self {
            Self::Active(membership) => membership.live().collect(),
            // `live` returns this host first. It is left out, since a leaving host must not be the watcher.
            Self::Leaving(membership) => membership.live().skip(1).collect(),
        }
    }
}
