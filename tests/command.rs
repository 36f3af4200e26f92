//! The command-line client against the administration API with an in-memory control.

mod fake;

use std::process::{Command, Output};
use std::sync::atomic::Ordering;

use fake::{Directory, FICHALUZ, Fake, app};
use primrosestack::listen::{Limits, Listener, bind};

async fn serve() -> (Directory, Fake, Listener) {
    let directory = Directory::open();
    let (fake, app) = app(&directory);
    let listener = bind("127.0.0.1:0".parse().unwrap(), app, None, Limits::default())
        .await
        .unwrap();
    (directory, fake, listener)
}

/// Runs the program with a token; returns its exit code, standard output and standard error.
async fn run(
    listener: &Listener,
    token: &str,
    arguments: &[&str],
) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_primrosestack"));
    command
        .args(arguments)
        .env_clear()
        .env("PRIMROSESTACK_TOKEN", token);
    command.env(
        "PRIMROSESTACK_ADDRESS",
        format!("http://{}", listener.address()),
    );
    let Output {
        status,
        stdout,
        stderr,
    } = tokio::task::spawn_blocking(move || command.output())
        .await
        .unwrap()
        .unwrap();
    (
        status.code(),
        String::from_utf8(stdout).unwrap(),
        String::from_utf8(stderr).unwrap(),
    )
}

/// Guards against document commands that do not print the revision or the faults.
#[tokio::test]
async fn document_commands_print_revisions() {
    let (directory, _, listener) = serve().await;
    let file = directory.write("field-work.jsonc", FICHALUZ);
    let file = file.to_str().unwrap();
    let host = &listener;
    let (_, out, _) = run(host, "field-work", &["document", "put", file]).await;
    assert_eq!(out, "field-work has revision 1\n");
    let (code, _, error) = run(host, "field-work", &["document", "put", file]).await;
    assert_eq!(code, Some(1));
    assert!(error.contains("current revision: 1"), "{error}");
    let put = ["document", "put", "--if-match=1", "--json", file];
    let (code, out, _) = run(host, "field-work", &put).await;
    assert_eq!(
        (code, out.as_str()),
        (Some(0), "{\"team\":\"field-work\",\"revision\":2}\n")
    );
    let (_, out, error) = run(host, "field-work", &["document", "get", "field-work"]).await;
    assert_eq!((out.as_str(), error.as_str()), (FICHALUZ, "revision 2\n"));
    let (_, out, _) = run(host, "operator", &["document", "history", "field-work"]).await;
    assert!(
        out.contains("pel             1         behind    40\n"),
        "{out}"
    );
    assert!(
        out.contains("cxs             -         unknown   -\n"),
        "{out}"
    );
    let (_, out, _) = run(host, "operator", &["document", "list"]).await;
    assert_eq!(
        out,
        "TEAM        REVISION  SERVICES  BATCH\nfield-work  2         1         2\n"
    );
    let (code, _, error) = run(host, "other", &["document", "get", "field-work"]).await;
    assert_eq!(code, Some(1), "{error}");
    let faulty = directory.write(
        "faulty.jsonc",
        FICHALUZ.replace("\"deadline_ms\": 5000", "\"deadline_ms\": 50000"),
    );
    let (code, _, error) = run(
        host,
        "field-work",
        &["document", "put", faulty.to_str().unwrap()],
    )
    .await;
    assert_eq!(code, Some(2));
    assert!(
        error.contains("faulty.jsonc:22:22: /services/job-sheets/deadline_ms: "),
        "{error}"
    );
}

/// Guards against job commands whose exit code or output does not show the outcome.
#[tokio::test]
async fn job_commands_report_outcomes() {
    let (_directory, fake, listener) = serve().await;
    let host = &listener;
    let submit = ["job", "submit", "--key=may", "--kind=invoices", "--tasks=2"];
    let (_, out, _) = run(host, "field-work", &submit).await;
    let job = out.trim();
    let (_, out, _) = run(host, "field-work", &submit).await;
    assert_eq!(out, format!("{job} (accepted before)\n"));
    let (_, out, _) = run(host, "field-work", &["job", "list"]).await;
    assert!(out.contains(job), "{out}");
    let (code, out, _) = run(
        host,
        "field-work",
        &["job", "cancel", job, "0000000000000000"],
    )
    .await;
    assert_eq!(
        (code, out),
        (
            Some(1),
            format!("{job} cancelled\n0000000000000000 unknown\n")
        )
    );
    let watch = ["job", "get", "--watch", "--json", job];
    let (code, out, error) = run(host, "field-work", &watch).await;
    assert_eq!((code, out.lines().count()), (Some(1), 1), "{error}");
    fake.0.store_is_down.store(true, Ordering::SeqCst);
    let (code, _, error) = run(host, "field-work", &submit).await;
    assert_eq!(code, Some(3), "{error}");
    fake.0.store_is_down.store(false, Ordering::SeqCst);
    fake.0.store_is_silent.store(true, Ordering::SeqCst);
    let (code, _, error) = run(host, "field-work", &submit).await;
    assert_eq!(code, Some(1), "{error}");
    assert!(listener.stop(5_000).await);
}

/// Guards against a watch that ends when one entry host shuts down, or that reports "not run" for an accepted job.
#[tokio::test]
async fn watch_survives_refused_polls() {
    let (_directory, fake, listener) = serve().await;
    let host = &listener;
    let submit = [
        "job",
        "submit",
        "--key=k",
        "--kind=invoices",
        "--watch",
        "--every-ms=1",
    ];
    fake.0.refused_polls.store(10, Ordering::SeqCst);
    let (code, out, error) = run(host, "field-work", &submit).await;
    assert_eq!((code, out.lines().count()), (Some(1), 1), "{error}");
    assert!(error.contains("goes on"), "{error}");
    let job = out.trim();
    run(host, "field-work", &["job", "cancel", job]).await;
    fake.0.refused_polls.store(9, Ordering::SeqCst);
    let watch = ["job", "get", "--watch", "--every-ms=1", job];
    let (code, out, error) = run(host, "field-work", &watch).await;
    assert_eq!((code, out.lines().count()), (Some(1), 2), "{error}");
}

/// Guards against host commands that omit why a host gets no requests, and against teams that use operator commands.
#[tokio::test]
async fn host_commands_print_reasons() {
    let (_directory, _, listener) = serve().await;
    let host = &listener;
    let (_, out, _) = run(host, "operator", &["host", "list"]).await;
    assert!(out.contains("leaving  shutting down  0,2"), "{out}");
    let (code, out, _) = run(
        host,
        "operator",
        &["host", "servers", "--json", "--limit=5"],
    )
    .await;
    assert_eq!(
        (code, out.as_str()),
        (Some(0), "{\"servers\":[],\"next\":null}\n")
    );
    let (_, out, _) = run(host, "operator", &["host", "gone", "w-1"]).await;
    assert_eq!(out, "w-1 is gone; 4 tasks may run elsewhere\n");
    let (code, _, error) = run(host, "field-work", &["host", "gone", "w-1"]).await;
    assert_eq!(code, Some(1));
    assert!(error.contains("operator"), "{error}");
    let (code, _, error) = run(host, "operator", &["host", "gone", "../jobs"]).await;
    assert_eq!(code, Some(2), "{error}");
}
