//! Error-budget burn: the counts of a host, their sum over hosts, and the report.

use std::net::SocketAddr;

use bpaf::Parser as _;
use primrosestack::burn::{
    BYTES_PER_SERVICE, BurnCounters, BurnReply, KnownHost, RING_SLOTS, SERVICE_LIMIT, ServiceBurn,
    ServiceLevelObjective, WINDOWS_MS, step_ms,
};
use primrosestack::burn_fetch::{BurnClient, decode};
use primrosestack::burn_html;
use primrosestack::burn_sum::{HostResult, Summary};
use primrosestack::cmd::report::{
    EXIT_COMPLETE, EXIT_PARTIAL, create_report, exit_code, report_options, table,
};
use primrosestack::metrics::Outcome;
use primrosestack_core::event::NotRun;
use primrosestack_core::ids::HostId;
use primrosestack_core::time::{DurationMs, MonoMs};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

const DAY_MS: u64 = 86_400_000;
const START: MonoMs = MonoMs(40 * DAY_MS);

fn burn_of(name: &str, domain: &str, known: &[(&str, &str)], opened: MonoMs) -> BurnCounters {
    let host = HostId {
        name: name.into(),
        incarnation: 1,
    };
    let known = known.iter().map(|(name, domain)| KnownHost {
        name: (*name).into(),
        failure_domain: (*domain).into(),
    });
    BurnCounters::open(host, domain.into(), known.collect(), opened)
}

fn record(burn: &BurnCounters, now: MonoMs, good: u32, bad: u32) {
    for _ in 0..good {
        burn.record_request(now, "quotes", Outcome::Answered(200), DurationMs(5));
    }
    for _ in 0..bad {
        burn.record_request(now, "quotes", Outcome::Unknown, DurationMs(5));
    }
}

fn host_result(reply: BurnReply) -> HostResult {
    HostResult {
        address: format!("addr-of-{}", reply.host.name).into(),
        result: Ok(reply),
    }
}

/// Numbers of good and bad requests in a window of a reply.
fn totals(reply: &BurnReply, window: usize) -> (u32, u32) {
    let counts = &reply.services[0].windows[window].counts;
    let good = counts.iter().map(|step| step.good).sum();
    (good, counts.iter().map(|step| step.bad).sum())
}

/// Guards against an outcome that is counted as good although it misses the service level, or the reverse.
#[test_case(Outcome::Answered(200), 1_000, true; "in time")]
#[test_case(Outcome::Answered(200), 1_001, false; "late")]
#[test_case(Outcome::Answered(404), 5, true; "client error")]
#[test_case(Outcome::Answered(500), 5, false; "server error")]
#[test_case(Outcome::NotRun(NotRun::Overloaded), 5, false; "not run")]
#[test_case(Outcome::Unknown, 5, false; "unknown")]
fn a_request_is_good_or_bad(outcome: Outcome, latency_ms: u64, good: bool) {
    let level = ServiceLevelObjective::default();
    assert_eq!(level.is_good(outcome, DurationMs(latency_ms)), good);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against steps that keep old counts after a pause, or lose counts when the ring buffer wraps around.
    #[test]
    fn windows_hold_exactly_their_steps(pauses in prop::collection::vec(0_u64..200_000, 1..60)) {
        let burn = burn_of("fe-1", "poa", &[], START);
        let mut now = START;
        let mut times = Vec::new();
        for pause in pauses {
            now = now + DurationMs(pause);
            record(&burn, now, 1, 0);
            times.push(now);
        }
        let end = now + DurationMs(7_000);
        let reply = burn.reply(end);
        for window in 0..WINDOWS_MS.len() {
            let oldest = (end.0 / step_ms(window)).saturating_sub(RING_SLOTS as u64 - 1);
            let expected = times.iter().filter(|time| time.0 / step_ms(window) >= oldest);
            prop_assert_eq!(totals(&reply, window).0 as usize, expected.count());
        }
    }
}

/// Guards against a window that covers less than its length, and against counts that never expire.
#[test]
fn counts_leave_a_window_after_its_length_and_a_step() {
    let burn = burn_of("fe-1", "poa", &[], START);
    record(&burn, START, 2, 1);
    for (window, window_ms) in WINDOWS_MS.into_iter().enumerate() {
        let last = START + DurationMs(window_ms);
        assert_eq!(totals(&burn.reply(last), window), (2, 1), "window {window}");
        let past = last + DurationMs(step_ms(window));
        assert_eq!(totals(&burn.reply(past), window), (0, 0), "window {window}");
    }
}

/// Guards against memory that grows without limit when clients send arbitrary service names.
#[test]
fn services_and_bytes_are_bounded() {
    let burn = burn_of("fe-1", "poa", &[], START);
    for number in 0..SERVICE_LIMIT + 20 {
        let service = format!("service-{number:04}");
        burn.record_request(START, &service, Outcome::Answered(200), DurationMs(5));
    }
    let reply = burn.reply(START);
    assert_eq!(reply.services.len(), SERVICE_LIMIT + 1);
    let other = reply.services.iter().find(|one| one.service == "other");
    assert_eq!(other.unwrap().windows[0].counts[0].good, 20);
    const { assert!(BYTES_PER_SERVICE <= 1_400) };
    let page = burn_html::render(&Summary::from_results(&[host_result(reply)]), "now");
    assert_eq!(page.matches("<h2>").count(), 40);
    assert!(page.contains("985 more are in the table only"));
}

/// Guards against services beyond the limit, which share one entry, changing the level of that entry.
#[test]
fn services_counted_together_keep_the_default_level() {
    let burn = burn_of("fe-1", "poa", &[], START);
    let level = ServiceLevelObjective {
        good_ppm: 990_000,
        latency_ms: 1,
    };
    for number in 0..=SERVICE_LIMIT {
        let service = format!("service-{number:04}");
        burn.set_objective(START, &service, level);
    }
    let services = burn.reply(START).services;
    let default = |one: &&ServiceBurn| one.level == ServiceLevelObjective::default();
    let names: Vec<_> = services
        .iter()
        .filter(default)
        .map(|one| &one.service)
        .collect();
    assert_eq!(names, ["other"]);
}

/// Guards against a wrong sum or burn rate, and against an alarm that fires on one window alone.
#[test]
fn burn_is_the_share_of_bad_requests_over_the_budget() {
    let opened = MonoMs(0);
    let one = burn_of("fe-1", "poa", &[], opened);
    let two = burn_of("fe-2", "cxs", &[], opened);
    // 20 of 1,000 requests are bad and 1 of 1,000 is allowed, so the burn rate is 20.
    record(&one, START, 480, 20);
    record(&two, START, 500, 0);
    let summary =
        Summary::from_results(&[host_result(one.reply(START)), host_result(two.reply(START))]);
    let sum = &summary.rows[0];
    assert_eq!(sum.failure_domain, None);
    assert!((sum.windows[0].burn.unwrap() - 20.0).abs() < 1e-9);
    assert!((sum.budget_left.unwrap() + 19.0).abs() < 1e-9);
    assert!(sum.fast_alarm && sum.slow_alarm);
    let domains: Vec<_> = summary.rows[1..]
        .iter()
        .map(|row| (row.failure_domain.clone().unwrap(), row.fast_alarm))
        .collect();
    assert_eq!(domains, [("cxs".into(), false), ("poa".into(), true)]);
    assert_eq!(exit_code(&summary), EXIT_COMPLETE);
    assert!(summary.notes.is_empty(), "{:?}", summary.notes);
    // After 10 min the 5 min window is empty: the fast alarm ends, although the 1 h window still exceeds its limit.
    let later = START + DurationMs(600_000);
    let summary = Summary::from_results(&[host_result(one.reply(later))]);
    assert_eq!(summary.rows[0].windows[0].burn, None);
    assert!(!summary.rows[0].fast_alarm && summary.rows[0].slow_alarm);
}

/// Guards against a report that looks complete although a host or a whole failure domain is missing.
#[test]
fn missing_hosts_and_failure_domains_are_named() {
    let known = [("fe-1", "poa"), ("fe-2", "poa"), ("fe-3", "pel")];
    let burn = burn_of("fe-1", "poa", &known, MonoMs(0));
    let unreachable = HostResult {
        address: "10.0.0.2:9101".into(),
        result: Err("no answer within 5000 ms".into()),
    };
    let summary = Summary::from_results(&[host_result(burn.reply(START)), unreachable]);
    let expected = [
        "10.0.0.2:9101 gave no data: no answer within 5000 ms",
        "no data from host fe-3 of failure domain pel",
        "no data from host fe-2 of failure domain poa",
        "failure domain pel is missing: none of its hosts gave data",
    ];
    assert_eq!(summary.missing, expected);
    assert_eq!(exit_code(&summary), EXIT_PARTIAL);
    assert!(table(&summary).contains("data from 1 entry hosts: fe-1 (poa)\n"));
    let page = burn_html::render(&summary, "now");
    for sentence in expected {
        assert!(table(&summary).contains(sentence), "{sentence}");
        assert!(page.contains(sentence), "{sentence}");
    }
}

/// Guards against a restarted host whose missing history looks like a month without requests, and against a host that
/// is counted twice because a load balancer forwards two requests to it.
#[test]
fn restarts_and_repeated_hosts_are_noted() {
    let burn = burn_of("fe-1", "poa", &[], START);
    let now = START + DurationMs(3 * 3_600_000);
    record(&burn, now, 10, 0);
    let summary =
        Summary::from_results(&[host_result(burn.reply(now)), host_result(burn.reply(now))]);
    assert_eq!(summary.rows[0].windows[0].total.good, 10);
    let forgotten: Vec<bool> = summary.rows[0]
        .windows
        .iter()
        .map(|window| window.forgotten)
        .collect();
    assert_eq!(forgotten, [false, false, true, true, true]);
    let expected = [
        "addr-of-fe-1 is host fe-1, counted once",
        "host fe-1 began counting 3 h ago and has no older data",
    ];
    assert_eq!(summary.notes, expected);
    assert_eq!(exit_code(&summary), EXIT_COMPLETE);
}

/// Guards against names that inject markup, and against resources loaded from other sites.
#[test]
fn the_page_is_self_contained_and_escaped() {
    let burn = burn_of("fe-1", "<poa>", &[], START);
    let name = "<script>alert('x')</script>";
    burn.record_request(START, name, Outcome::Unknown, DurationMs(5));
    let page = burn_html::render(
        &Summary::from_results(&[host_result(burn.reply(START))]),
        "now",
    );
    assert!(!page.contains("<script") && !page.contains("<poa>"));
    assert!(!page.contains("http://") && !page.contains("https://") && !page.contains("url("));
    assert_eq!(page.matches("<svg").count(), WINDOWS_MS.len());
}

/// Guards against a reply of another format version that is decoded as the current one.
#[test]
fn replies_of_another_version_are_refused() {
    let mut value = serde_json::to_value(burn_of("fe-1", "poa", &[], START).reply(START)).unwrap();
    value["version"] = 2.into();
    let error = decode(value.to_string().as_bytes()).unwrap_err();
    assert!(error.to_string().contains("version 2"), "{error}");
}

async fn serve(burn: &BurnCounters) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let router = burn.router(|| START);
    tokio::spawn(async move { axum::serve(listener, router).await });
    address
}

/// Guards against a client that calls another route than the host serves, and against one unreachable host that
/// hides the data of the others.
#[tokio::test]
async fn counts_are_fetched_from_the_hosts_that_answer() {
    let burn = burn_of("fe-1", "poa", &[], START);
    record(&burn, START, 3, 1);
    let reachable = serve(&burn).await;
    let closed = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let unreachable = closed.local_addr().unwrap();
    drop(closed);
    let answers = BurnClient::open(5_000)
        .fetch_all(&[unreachable, reachable])
        .await;
    assert_eq!(answers[1].result, Ok(burn.reply(START)));
    let cause = answers[0].result.as_ref().unwrap_err();
    assert!(cause.starts_with("cannot connect"), "{cause}");
    assert_eq!(exit_code(&Summary::from_results(&answers)), EXIT_PARTIAL);
}

/// Guards against a report that sends its token to a host whose certificate no trusted authority signed.
#[tokio::test]
async fn tls_hosts_must_be_signed_by_the_authority() {
    let burn = burn_of("fe-1", "poa", &[], START);
    let host = rcgen::generate_simple_self_signed(["127.0.0.1".to_owned()]).unwrap();
    let untrusted = rcgen::generate_simple_self_signed(["127.0.0.1".to_owned()]).unwrap();
    let directory = std::env::temp_dir().join(format!("primrose-burn-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let trusted_file = directory.join("trusted.pem");
    let untrusted_file = directory.join("untrusted.pem");
    std::fs::write(&trusted_file, host.cert.pem()).unwrap();
    std::fs::write(&untrusted_file, untrusted.cert.pem()).unwrap();
    let address = serve_tls(&burn, &host).await;
    let open = |path| BurnClient::open(5_000).with_authority_file(path);
    let accepting_client = open(&trusted_file).unwrap();
    let refusing_client = open(&untrusted_file).unwrap();
    std::fs::remove_dir_all(&directory).unwrap();
    assert_eq!(
        accepting_client.fetch(address).await.unwrap(),
        burn.reply(START)
    );
    let error = refusing_client.fetch(address).await.unwrap_err();
    assert!(error.to_string().starts_with("TLS failed"), "{error}");
}

async fn serve_tls(burn: &BurnCounters, host: &rcgen::CertifiedKey<rcgen::KeyPair>) -> SocketAddr {
    let key = rustls::pki_types::PrivateKeyDer::try_from(host.signing_key.serialize_der()).unwrap();
    let provider = std::sync::Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_no_client_auth()
        .with_single_cert(vec![host.cert.der().clone()], key)
        .unwrap();
    let acceptor = tokio_rustls::TlsAcceptor::from(std::sync::Arc::new(config));
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let router = burn.router(|| START);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let Ok(stream) = acceptor.accept(stream).await else {
                continue;
            };
            let service = hyper_util::service::TowerToHyperService::new(router.clone());
            let stream = hyper_util::rt::TokioIo::new(stream);
            let connection = hyper::server::conn::http1::Builder::new();
            tokio::spawn(connection.serve_connection(stream, service));
        }
    });
    address
}

/// Guards against an option that is parsed but has no effect.
#[tokio::test]
async fn the_command_writes_a_page_and_reports_partial_data() {
    let known = [("fe-1", "poa"), ("fe-2", "cxs")];
    let burn = burn_of("fe-1", "poa", &known, START);
    record(&burn, START, 3, 1);
    let address = serve(&burn).await.to_string();
    let page = std::env::temp_dir().join(format!("primrose-burn-{}.html", std::process::id()));
    let page_name = page.to_str().unwrap();
    let arguments = ["burn", "--address", &address, "--html", page_name];
    let parser = report_options().to_options();
    let options = parser.run_inner(&arguments[..]).unwrap();
    assert_eq!(create_report(&options).await.unwrap(), EXIT_PARTIAL);
    let text = std::fs::read_to_string(&page).unwrap();
    std::fs::remove_file(&page).unwrap();
    assert!(text.contains("failure domain cxs is missing"));
    assert!(parser.run_inner(&["burn"][..]).is_err());
}
