//! Rate at which the document watch of a failure domain calls the store.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use primrosestack::clock::Clock;
use primrosestack::members::{Members, MembersOptions};
use primrosestack::metrics::Metrics;
use primrosestack::peer::{PeerOptions, Peers};
use primrosestack::store::{KeyValue, Store, StoreError, StoreFuture};
use primrosestack_core::event::{StoreCall, StoreReply};
use primrosestack_core::ids::HostId;
use primrosestack_core::membership::{Load, MembershipConfig};
use tokio::sync::{mpsc, watch};

/// Counts watches and listings; a watch stays open if `is_up` and fails at once otherwise.
struct CountingStore {
    is_up: bool,
    watches: AtomicU32,
    lists: AtomicU32,
}

impl Store for CountingStore {
    fn call(&self, _call: StoreCall) -> StoreFuture<'_, StoreReply> {
        Box::pin(async { StoreReply::Unavailable })
    }

    fn list(&self, _prefix: &str) -> StoreFuture<'_, Result<Vec<KeyValue>, StoreError>> {
        self.lists.fetch_add(1, Ordering::SeqCst);
        Box::pin(async { Ok(Vec::new()) })
    }

    fn watch(
        &self,
        _prefix: &str,
        changes: mpsc::Sender<KeyValue>,
    ) -> StoreFuture<'_, Result<(), StoreError>> {
        self.watches.fetch_add(1, Ordering::SeqCst);
        Box::pin(async move {
            if self.is_up {
                changes.closed().await;
            }
            Err(StoreError::Unavailable)
        })
    }
}

/// Runs a single host for a span of simulated time; returns the numbers of watches and listings.
async fn calls(is_up: bool, span: Duration) -> (u32, u32) {
    let host = HostId {
        name: "a".into(),
        incarnation: 7,
    };
    let store = Arc::new(CountingStore {
        is_up,
        watches: AtomicU32::new(0),
        lists: AtomicU32::new(0),
    });
    let (received, _frames) = mpsc::channel(16);
    let peers = Peers::bind(
        PeerOptions {
            host: host.clone(),
            failure_domain: "poa".into(),
            address: ([127, 0, 0, 1], 0).into(),
            peers: Vec::new(),
            tls: None,
            metrics: Metrics::open().unwrap(),
        },
        received,
    )
    .await
    .unwrap();
    let (suspicions, _suspected) = mpsc::channel(16);
    let (_load, load) = watch::channel(Load::default());
    let _members = Members::spawn(MembersOptions {
        config: MembershipConfig {
            host,
            failure_domain: "poa".into(),
            members: Vec::new(),
        },
        clock: Clock::open(),
        peers,
        store: store.clone(),
        load,
        suspicions,
    });
    tokio::time::sleep(span).await;
    let watches = store.watches.load(Ordering::SeqCst);
    (watches, store.lists.load(Ordering::SeqCst))
}

/// Guards against a fixed delay between attempts to watch, with which all watchers call a recovering store at once.
#[tokio::test(start_paused = true)]
async fn a_failing_watch_backs_off() {
    let (watches, _) = calls(false, Duration::from_secs(100)).await;
    assert!((15..=35).contains(&watches), "{watches} watches");
}

/// Guards against frequent listings of all documents, which would cost the store more than the changes themselves.
#[tokio::test(start_paused = true)]
async fn an_open_watch_lists_every_five_minutes() {
    let calls = calls(true, Duration::from_secs(599)).await;
    assert_eq!(calls, (1, 2));
}
