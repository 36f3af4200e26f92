//! Requests of the operator to evacuate failure domains, as a host follows them in the store.

mod daemon_fake;
mod store_fake;

use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use daemon_fake::{node, open_shard};
use primrosestack::daemon::clock::now_ms;
use primrosestack::daemon::ingress::limits::{CallerLimits, HostSize, Limits};
use primrosestack::daemon::node::Node;
use primrosestack::daemon::owner::OwnedShard;
use primrosestack::daemon::settings::DaemonSettings;
use primrosestack::daemon::{entry, keys, operator};
use primrosestack_fleet::evacuation::Evacuation;
use primrosestack_fleet::footprint::JobSize;
use primrosestack_fleet::open_tasks::OpenTasks;
use primrosestack_fleet::prelude::*;
use primrosestack_fleet::record::{Home, StoredJob};
use primrosestack_platform::catalog::{CONFIGURATION_KEY, EVACUATIONS_PREFIX, OPERATOR_PREFIX};
use primrosestack_platform::store::Item;
use prost::Message;
use serde_json::json;
use store_fake::{Contents, serve_store};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

/// Longer than any wait between two calls.
const WAIT_MAX: Duration = Duration::from_secs(10);

async fn bind() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

type Store = Rc<RefCell<Contents>>;

/// Runs a test with a host that does not follow the store yet. The store has a configuration.
async fn with_host(test: impl AsyncFnOnce(Store, Rc<Node>)) {
    let run = async {
        let (listener, address) = bind().await;
        let store = Store::default();
        let route = json!({"name": "q", "host": "h", "prefix": "/q/", "service": ""});
        let configuration = json!({"version": 1, "routes": [route]}).to_string();
        store.borrow_mut().revision = daemon_fake::LEADERSHIP.start_revision;
        store
            .borrow_mut()
            .put(CONFIGURATION_KEY, configuration.into());
        tokio::task::spawn_local(serve_store(listener, Rc::clone(&store)));
        test(store, node(&address)).await;
    };
    LocalSet::new().run_until(run).await;
}

async fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let waited = tokio::time::timeout(WAIT_MAX, wait).await;
    assert!(waited.is_ok(), "{what}");
}

fn put(store: &Store, domain: &str) {
    let key = format!("{EVACUATIONS_PREFIX}{domain}");
    store.borrow_mut().put(&key, b"{}".to_vec());
}

fn remove(store: &Store, domain: &str) {
    let key = format!("{EVACUATIONS_PREFIX}{domain}");
    store.borrow_mut().remove(&key);
}

/// Guards against a request or take-back that a host misses: in series, in one answer, while the store refuses calls, and after
/// the history was compacted; against an owner that learns of it late or, if it opens the shard later, not at all; and
/// against more reads than one list.
#[tokio::test]
async fn an_owner_follows_requests_and_take_backs() {
    with_host(async |store, node| {
        put(&store, "poa");
        tokio::task::spawn_local(operator::follow(Rc::clone(&node)));
        wait_for("the list", || node.configuration.borrow().is_some()).await;
        let owned = open_shard(&node).await;
        let is_evacuated = || owned.shard.borrow().is_evacuated();
        assert!(is_evacuated(), "opened after the request");
        let gauge = |count| format!("primrose_evacuated_failure_domains {count}\n");
        assert!(node.metrics.scrape().unwrap().contains(&gauge(1)));
        for _ in 0..2 {
            remove(&store, "poa");
            wait_for("taken back", || !is_evacuated()).await;
            put(&store, "poa");
            wait_for("requested", is_evacuated).await;
        }
        for _ in 0..2 {
            remove(&store, "poa");
            put(&store, "poa");
        }
        remove(&store, "poa");
        wait_for("taken back in one answer", || !is_evacuated()).await;
        let lists = |store: &Store| {
            let store = store.borrow();
            let reads = store
                .reads
                .iter()
                .filter(|path| path.contains(OPERATOR_PREFIX));
            reads.map(|path| path.contains("prefix=")).collect()
        };
        let before: Vec<bool> = lists(&store);
        assert_eq!(before, [true], "one list and no read");
        store.borrow_mut().refusals = 2;
        put(&store, "poa");
        wait_for("requested while calls are refused", is_evacuated).await;
        remove(&store, "poa");
        store.borrow_mut().compact();
        wait_for("taken back in a compacted change", || !is_evacuated()).await;
        assert!(node.metrics.scrape().unwrap().contains(&gauge(0)));
    })
    .await;
}

/// Guards against a copy that passes for newer than it is: before the first list, and by the wait of a watch.
#[tokio::test]
async fn the_copy_is_as_old_as_the_call_that_confirmed_it() {
    with_host(async |store, node| {
        let as_of_ms = || node.evacuations.borrow().as_of_ms();
        store.borrow_mut().refusals = 1;
        tokio::task::spawn_local(operator::follow(Rc::clone(&node)));
        wait_for("the refusal", || store.borrow().refusals == 0).await;
        assert_eq!(as_of_ms(), None);
        assert!(node.configuration.borrow().is_none());
        for _ in 0..3 {
            let last_ms = store.borrow().watch_arrived_ms;
            wait_for("a watch", || {
                let answered_ms = store.borrow().watch_arrived_ms;
                answered_ms > last_ms && as_of_ms().is_some_and(|as_of_ms| as_of_ms > last_ms)
            })
            .await;
            assert!(as_of_ms().unwrap() <= store.borrow().watch_arrived_ms);
        }
    })
    .await;
}

/// Guards against odd requests that evacuate anything, are reported again and again, or hide the others.
#[tokio::test]
async fn requests_for_unknown_failure_domains_have_no_effect() {
    with_host(async |store, node| {
        let odd = ["nowhere", "", "poa/x", "po\u{e1}"];
        for domain in odd.into_iter().chain(["cxs"]) {
            put(&store, domain);
        }
        tokio::task::spawn_local(operator::follow(Rc::clone(&node)));
        wait_for("the request", || node.is_evacuated("cxs")).await;
        let domains: Vec<String> = (node.evacuations.borrow().domains())
            .map(ToString::to_string)
            .collect();
        assert_eq!(domains, ["cxs"]);
        for domain in odd {
            let key = format!("{EVACUATIONS_PREFIX}{domain}").into();
            assert_eq!(node.odd_entries.admit(&key, now_ms()), None, "{domain:?}");
        }
    })
    .await;
}

async fn submit(address: &str, id: JobId) -> String {
    let body = r#"{"spec":"x","steps":[{"count":1,"cpu":500}]}"#;
    let length = body.len();
    let request = format!(
        "POST /q/{id} HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).await.unwrap();
    reply
}

/// Guards against a job whose home is an evacuated failure domain, one that is stored although it is refused, and one that
/// is refused although it was accepted.
#[tokio::test]
async fn accepted_jobs_have_no_evacuated_home() {
    with_host(async |store, node| {
        put(&store, "poa");
        tokio::task::spawn_local(operator::follow(Rc::clone(&node)));
        let (listener, callers) = bind().await;
        let limits = Limits::for_callers(&CallerLimits::default(), HostSize::from_settings(0, 0));
        tokio::task::spawn_local(entry::serve(Rc::clone(&node), listener, limits));
        wait_for("the list", || node.is_ready()).await;
        assert!(submit(&callers, JobId(7)).await.starts_with("HTTP/1.1 200"));
        let home_of = |id| {
            let store = store.borrow();
            let (value, _) = store.items.get(keys::home(id).as_str())?;
            Some(Home::decode(value.as_slice()).unwrap().failure_domain)
        };
        assert_eq!(home_of(JobId(7)).as_deref(), Some("cxs"));
        put(&store, "cxs");
        wait_for("the request", || node.is_evacuated("cxs")).await;
        let commits = store.borrow().commits;
        let refusal = submit(&callers, JobId(8)).await.to_lowercase();
        assert!(refusal.starts_with("http/1.1 503"), "{refusal}");
        assert!(refusal.contains("retry-after: 1\r\n"), "{refusal}");
        assert_eq!((store.borrow().commits, home_of(JobId(8))), (commits, None));
        node.forget_home(JobId(7));
        assert!(submit(&callers, JobId(7)).await.starts_with("HTTP/1.1 200"));
        remove(&store, "poa");
        wait_for("the take-back", || !node.is_evacuated("poa")).await;
        assert!(submit(&callers, JobId(8)).await.starts_with("HTTP/1.1 200"));
        assert_eq!(home_of(JobId(8)).as_deref(), Some("poa"));
    })
    .await;
}

/// Guards against a job that is stored although no shard has room for it, and one that is refused although it was accepted.
#[tokio::test]
async fn jobs_are_refused_while_no_shard_has_room() {
    with_host(async |store, node| {
        tokio::task::spawn_local(operator::follow(Rc::clone(&node)));
        let (listener, callers) = bind().await;
        let limits = Limits::for_callers(&CallerLimits::default(), HostSize::from_settings(0, 0));
        tokio::task::spawn_local(entry::serve(Rc::clone(&node), listener, limits));
        wait_for("the list", || node.is_ready()).await;
        assert!(submit(&callers, JobId(7)).await.starts_with("HTTP/1.1 200"));
        let fill = |index: usize, tasks: u64| {
            let mut open = OpenTasks::default();
            open.add("other", JobSize { tasks, bytes: 0 }, true);
            let mut views = node.load_views.borrow_mut();
            views
                .view_mut(index)
                .open_tasks
                .apply(open, now_ms() + 60_000);
        };
        for index in 0..node.settings.failure_domains.len() {
            fill(index, node.shard_limits.open_tasks_max);
        }
        let commits = store.borrow().commits;
        let refusal = submit(&callers, JobId(8)).await.to_lowercase();
        assert!(refusal.starts_with("http/1.1 503"), "{refusal}");
        assert!(refusal.contains("retry-after: 1\r\n"), "{refusal}");
        assert_eq!(store.borrow().commits, commits);
        node.forget_home(JobId(7));
        assert!(submit(&callers, JobId(7)).await.starts_with("HTTP/1.1 200"));
        fill(0, node.shard_limits.open_tasks_max - 1);
        assert!(submit(&callers, JobId(8)).await.starts_with("HTTP/1.1 200"));
    })
    .await;
}

/// Decides to start a task on a server at an address.
fn decide_start(node: &Node, owned: &Rc<OwnedShard>, address: &str) {
    let value = json!({
        "service": "", "address": address, "zone": "poa", "state": "ready", "born": 1,
        "capacity": {"cpu": 16_000, "memMb": 64_000},
    });
    let item = Item {
        key: "servers/i-1".into(),
        value: value.to_string().into(),
        revision: 1,
        created_revision: 1,
    };
    let entry = node.odd_entries.decode_server(&item, now_ms()).unwrap();
    let report = Report {
        sent_ms: now_ms(),
        started_unix_ms: 1,
        ..Report::default()
    };
    let mut shard = owned.shard.borrow_mut();
    let server = shard.set_server(entry, now_ms());
    shard.apply_report(server, &report, now_ms());
    let batch = shard.take_batch(now_ms());
    shard.batch_written(&batch);
    drop(shard);
    let step = StepSpec {
        tasks: 1,
        cpu_millis: 500,
        ..StepSpec::default()
    };
    let spec = JobSpec {
        id: 7,
        steps: vec![step],
        queue: Some(Queue::default()),
        ..JobSpec::default()
    };
    let stored = StoredJob {
        spec: Some(spec),
        created_revision: 99,
        ..StoredJob::default()
    };
    owned.receive_job(JobId(7), stored);
    assert_eq!(owned.shard.borrow().runs_on(server).len(), 1);
}

/// Guards against a start that was decided before the host learned of the request, and is sent after that.
#[test_case(false; "not evacuated")]
#[test_case(true; "evacuated")]
#[tokio::test]
async fn a_start_decided_before_a_request_is_not_sent_after_it(evacuated: bool) {
    with_host(async |_store, node| {
        let owned = open_shard(&node).await;
        let (listener, address) = bind().await;
        decide_start(&node, &owned, &address);
        if evacuated {
            let evacuation = Evacuation { since_revision: 99 };
            let mut shard = owned.shard.borrow_mut();
            shard.set_evacuation(Some(evacuation), now_ms(), now_ms());
        }
        let called = tokio::time::timeout(Duration::from_millis(500), listener.accept()).await;
        assert_eq!(called.is_ok(), !evacuated);
    })
    .await;
}

/// Guards against a deployment without the bound whose processes do not start, and a bound that no start can keep.
#[test_case(None, Some(0); "unset")]
#[test_case(Some(""), Some(0); "empty")]
#[test_case(Some("5000"), Some(5_000); "present")]
#[test_case(Some("1000"), None; "too short")]
#[test_case(Some("soon"), None; "no number")]
fn the_environment_sets_the_bound(bound: Option<&str>, expected_ms: Option<u64>) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let template = std::fs::read_to_string(root.join("deploy/settings.jsonc")).unwrap();
    let mut text = template
        .replace("{{#zones}}\"{{@}}\"{{,}}{{/zones}}", "\"poa\"")
        .replace("{{ip}}:{{internalPortRange.0}}", "127.0.0.1:1")
        .replace("{{ip}}:{{internalPortRange.1}}", "127.0.0.1:2")
        .replace("{{zone|json}}", "\"poa\"")
        .replace("{{controlMode|json}}", "\"invocation\"")
        .replace("{{advisor}}", "");
    while let Some((start, rest)) = text.split_once("{{") {
        let (name, end) = rest.split_once("}}").unwrap();
        let is_text = name.ends_with("|json");
        text = format!(
            "{start}{}{end}",
            if is_text { "\"127.0.0.1:3\"" } else { "2000" }
        );
    }
    let name = format!("settings-{}.jsonc", bound.unwrap_or("unset"));
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    let variable = |name: &str| {
        let is_bound = name == "PRIMROSESTACK_EVACUATION_MS";
        bound.filter(|_| is_bound).map(str::to_owned)
    };
    let settings = DaemonSettings::open_with(&path, variable).ok();
    assert_eq!(settings.map(|settings| settings.evacuation_ms), expected_ms);
}
