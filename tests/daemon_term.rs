//! Ends of an owner's term.

mod daemon_fake;

use daemon_fake::{handover, owned_shard};
use tokio::task::LocalSet;

/// Guards against an owner that goes on giving orders for seconds after a server told it of its successor, because the
/// store is out of reach.
#[tokio::test]
async fn a_fenced_owner_steps_down_without_the_store() {
    let run = async {
        let (node, owned, store) = owned_shard().await;
        store.abort();
        let _cancelled = store.await;
        owned.verify_term().await;
        assert!(owned.closed.get());
        assert!(handover(&node).is_some());
    };
    LocalSet::new().run_until(run).await;
}
