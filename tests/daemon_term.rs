//! Ends of an owner's term.

mod daemon_fake;

use daemon_fake::{handover, owned_shard_at, serve_store};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Guards against an owner that goes on giving orders for seconds after a server told it of its successor, because the
/// store is out of reach.
#[tokio::test]
async fn a_fenced_owner_steps_down_without_the_store() {
    let run = async {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let store = tokio::task::spawn_local(serve_store(listener));
        let (node, owned) = owned_shard_at(&address.to_string()).await;
        store.abort();
        let _cancelled = store.await;
        owned.verify_term().await;
        assert!(owned.closed.get());
        assert!(handover(&node).is_some());
    };
    LocalSet::new().run_until(run).await;
}
