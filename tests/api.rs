//! The administration API over an in-memory control: authorization, concurrent writes and error responses.

mod fake;

use std::sync::atomic::Ordering;

use axum::Router;
use axum::body::Body;
use axum::http::{HeaderMap, Request, StatusCode};
use fake::{Directory, FICHALUZ, app};
use http_body_util::BodyExt;
use primrosestack::model::{JobName, JobsCancelled};
use primrosestack::openapi;
use primrosestack::problem::{Code, Problem};
use serde_json::{Value, json};
use test_case::test_case;
use tower::ServiceExt;

const DOCUMENT: &str = "/v1/documents/field-work";

struct Reply {
    status: StatusCode,
    headers: HeaderMap,
    body: Vec<u8>,
}

impl Reply {
    fn problem(&self) -> Problem {
        assert_eq!(self.headers["content-type"], "application/problem+json");
        let problem: Problem = serde_json::from_slice(&self.body).unwrap();
        assert_eq!(problem.status, self.status.as_u16());
        problem
    }

    fn json(&self) -> Value {
        assert!(
            self.status.is_success(),
            "{}",
            String::from_utf8_lossy(&self.body)
        );
        serde_json::from_slice(&self.body).unwrap()
    }
}

async fn call(
    app: &Router,
    token: &str,
    line: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Reply {
    let (method, path) = line.split_once(' ').unwrap();
    let mut request = Request::builder().method(method).uri(path);
    if !token.is_empty() {
        request = request.header("authorization", format!("Bearer {token}"));
    }
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Body::from(body.to_owned())).unwrap();
    let response = app.clone().oneshot(request).await.unwrap();
    let (parts, body) = response.into_parts();
    let body = body.collect().await.unwrap().to_bytes().to_vec();
    Reply {
        status: parts.status,
        headers: parts.headers,
        body,
    }
}

async fn put(app: &Router, token: &str, if_match: Option<&str>, text: &str) -> Reply {
    let headers: Vec<_> = if_match
        .iter()
        .map(|revision| ("if-match", *revision))
        .collect();
    call(app, token, &format!("PUT {DOCUMENT}"), &headers, text).await
}

async fn submit(app: &Router, token: &str, key: &str, job: &Value) -> Reply {
    let headers = [("idempotency-key", key)];
    call(app, token, "POST /v1/jobs", &headers, &job.to_string()).await
}

/// Guards against a concurrent write that overwrites a newer revision of a document.
#[tokio::test]
async fn conflicting_write_gets_the_current_revision() {
    let directory = Directory::open();
    let (_, app) = app(&directory);
    let first = put(&app, "field-work", None, FICHALUZ).await;
    assert_eq!(
        (first.json()["revision"].as_u64(), &first.headers["etag"]),
        (Some(1), &"\"1\"".parse().unwrap())
    );
    let again = put(&app, "field-work", None, FICHALUZ).await.problem();
    assert_eq!(
        (again.code, again.status, again.current_revision),
        (Code::RevisionRequired, 412, Some(1))
    );
    assert_eq!(
        put(&app, "operator", Some("\"1\""), FICHALUZ).await.json()["revision"],
        2
    );
    let conflicting = put(&app, "field-work", Some("1"), FICHALUZ).await.problem();
    assert_eq!(
        (
            conflicting.code,
            conflicting.status,
            conflicting.current_revision
        ),
        (Code::RevisionConflict, 409, Some(2))
    );
    assert_eq!(
        put(&app, "field-work", Some("W/\"2\""), FICHALUZ)
            .await
            .problem()
            .code,
        Code::BadRequest
    );
    let view = call(&app, "field-work", &format!("GET {DOCUMENT}"), &[], "").await;
    assert_eq!(
        (view.json()["text"].as_str(), &view.headers["etag"]),
        (Some(FICHALUZ), &"\"2\"".parse().unwrap())
    );
    let history = call(
        &app,
        "field-work",
        &format!("GET {DOCUMENT}/history"),
        &[],
        "",
    )
    .await
    .json();
    assert_eq!(
        history["in_force"][0],
        json!({"failure_domain": "cxs", "revision": null, "heard_ms_ago": null})
    );
    assert_eq!(history["in_force"][1]["revision"], 1);
}

/// Guards against a document that is accepted although it has faults or names another team.
#[tokio::test]
async fn faulty_document_is_refused_with_all_faults() {
    let directory = Directory::open();
    let (_, app) = app(&directory);
    let text = FICHALUZ
        .replace("field-work", "other")
        .replace("\"eviction_permille\": 250", "\"eviction_permille\": 1");
    let problem = put(&app, "field-work", None, &text).await.problem();
    let pointers: Vec<&str> = problem
        .faults
        .iter()
        .map(|fault| fault.pointer.as_str())
        .collect();
    assert_eq!((problem.code, problem.status), (Code::Invalid, 422));
    assert_eq!(pointers, ["/team", "/objective"]);
    assert_eq!(problem.faults[0].line, 3);
    let missing = call(&app, "field-work", &format!("GET {DOCUMENT}"), &[], "").await;
    assert_eq!(missing.problem().code, Code::NotFound);
}

/// Guards against callers that read or change another team's data.
#[test_case("", "GET /v1/documents", 401; "no token")]
#[test_case("unknown", "GET /v1/hosts", 401; "unknown token")]
#[test_case("", "POST /v1/jobs", 401; "no token with a body")]
#[test_case("other", "GET /v1/documents/field-work", 403; "read of another team")]
#[test_case("other", "PUT /v1/documents/field-work", 403; "write of another team")]
#[test_case("other", "GET /v1/documents/field-work/history", 403; "history of another team")]
#[test_case("other", "GET /v1/jobs?team=field-work", 403; "jobs of another team")]
#[test_case("field-work", "POST /v1/servers/w-1/gone", 403; "operators only")]
#[test_case("operator", "POST /v1/servers/w-1/gone", 200; "operator")]
#[test_case("other", "GET /v1/servers?limit=0", 400; "limit of 0")]
#[test_case("other", "GET /v1/jobs?colour=red", 400; "unknown parameter")]
#[test_case("other", "GET /v1/jobs/xyz", 404; "no job")]
#[test_case("other", "GET /v1/documents/%FF", 400; "path that is not UTF-8")]
#[test_case("other", "GET /nowhere", 404; "no path")]
#[test_case("other", "DELETE /v1/hosts", 405; "no method")]
#[test_case("", "GET /v1/openapi.json", 200; "openapi for everyone")]
fn call_is_answered(token: &str, line: &str, status: u16) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let directory = Directory::open();
        let (_, app) = app(&directory);
        let reply = call(&app, token, line, &[("idempotency-key", "k")], "{}").await;
        assert_eq!(reply.status.as_u16(), status);
        if status >= 400 {
            reply.problem();
        }
    });
}

/// Guards against lists and cancellations that include jobs of other teams, and against a retried submission that
/// creates a second job.
#[tokio::test]
async fn jobs_belong_to_teams_and_keys() {
    let directory = Directory::open();
    let (_, app) = app(&directory);
    let job = json!({"kind": "invoices", "tasks": 3});
    let first = submit(&app, "field-work", "may", &job).await;
    let name = first.json()["job"].as_str().unwrap().to_owned();
    assert_eq!(first.status, StatusCode::CREATED);
    let again = submit(&app, "field-work", "may", &job).await;
    assert_eq!(
        (again.status, &again.json()["job"], &again.json()["new"]),
        (StatusCode::OK, &json!(name), &json!(false))
    );
    let reused = submit(
        &app,
        "field-work",
        "may",
        &json!({"kind": "photos", "tasks": 3}),
    )
    .await;
    assert_eq!(reused.problem().code, Code::KeyReused);
    assert_ne!(submit(&app, "other", "may", &job).await.json()["job"], name);
    assert_eq!(
        call(&app, "field-work", "POST /v1/jobs", &[], &job.to_string())
            .await
            .problem()
            .code,
        Code::BadRequest
    );
    for foreign in [
        json!({"team": "other", "kind": "a", "tasks": 1}),
        json!({"client": "b", "kind": "a", "tasks": 1}),
    ] {
        assert_eq!(
            submit(&app, "field-work", "k", &foreign)
                .await
                .problem()
                .code,
            Code::Forbidden
        );
    }
    assert_eq!(
        submit(&app, "operator", "k", &job).await.problem().code,
        Code::BadRequest
    );
    for line in [
        format!("GET /v1/jobs/{name}"),
        format!("DELETE /v1/jobs/{name}"),
    ] {
        assert_eq!(
            call(&app, "other", &line, &[], "").await.problem().code,
            Code::NotFound
        );
    }
    let listed = call(&app, "other", "GET /v1/jobs", &[], "").await.json();
    assert_eq!(listed["jobs"].as_array().unwrap().len(), 1);
    let body = json!({"jobs": [name]}).to_string();
    let foreign = call(&app, "other", "POST /v1/jobs/cancel", &[], &body)
        .await
        .json();
    assert_eq!(foreign, json!({"cancelled": [], "unknown": [name]}));
    let own = call(
        &app,
        "field-work",
        &format!("DELETE /v1/jobs/{name}"),
        &[],
        "",
    )
    .await
    .json();
    assert_eq!(own["cancelled"], json!([name]));
}

/// Guards against a limit that is too low for the largest expected bulk cancellation, and against a missing limit.
#[tokio::test]
async fn bulk_cancellation_is_one_call() {
    let directory = Directory::open();
    let (_, app) = app(&directory);
    let names = |count: usize| -> Vec<JobName> {
        (0..count)
            .map(|at| JobName::from_key("field-work", &at.to_string()))
            .collect()
    };
    let body = json!({"jobs": names(10_000)}).to_string();
    let reply = call(&app, "operator", "POST /v1/jobs/cancel", &[], &body).await;
    let answer: JobsCancelled = serde_json::from_value(reply.json()).unwrap();
    assert_eq!(answer.unknown.len(), 10_000);
    let body = json!({"jobs": names(20_001)}).to_string();
    let refused = call(&app, "operator", "POST /v1/jobs/cancel", &[], &body)
        .await
        .problem();
    assert_eq!(refused.faults[0].pointer, "/jobs");
    let refused = call(
        &app,
        "operator",
        "POST /v1/jobs/cancel",
        &[],
        r#"{"jobs": ["12"]}"#,
    )
    .await
    .problem();
    assert_eq!(refused.faults[0].pointer, "/jobs/0");
}

/// Guards against error responses that do not say whether the change may have been stored.
#[tokio::test]
async fn outcome_is_reported_in_a_header() {
    let directory = Directory::open();
    let (fake, app) = app(&directory);
    fake.0.store_is_down.store(true, Ordering::SeqCst);
    let refused = put(&app, "field-work", None, FICHALUZ).await;
    assert_eq!(refused.problem().code, Code::StoreUnavailable);
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        (
            &refused.headers["primrose-outcome"],
            &refused.headers["retry-after"]
        ),
        (&"not-run".parse().unwrap(), &"1".parse().unwrap())
    );
    fake.0.store_is_down.store(false, Ordering::SeqCst);
    fake.0.store_is_silent.store(true, Ordering::SeqCst);
    let unknown = put(&app, "field-work", None, FICHALUZ).await;
    assert_eq!(
        (unknown.problem().code, unknown.status),
        (Code::OutcomeUnknown, StatusCode::GATEWAY_TIMEOUT)
    );
    assert_eq!(unknown.headers["primrose-outcome"], "unknown");
}

/// Guards against an API call without a time limit, which hangs when the rest of the program does not answer.
#[tokio::test(start_paused = true)]
async fn call_ends_without_an_answer() {
    let directory = Directory::open();
    let (fake, app) = app(&directory);
    fake.0.is_hung.store(true, Ordering::SeqCst);
    let calling = call(&app, "operator", "GET /v1/hosts", &[], "");
    let limit = std::time::Duration::from_secs(20);
    let reply = tokio::time::timeout(limit, calling).await.unwrap();
    assert_eq!(reply.problem().code, Code::OutcomeUnknown);
}

/// Guards against an `OpenAPI` document with operations that the router does not serve.
#[tokio::test]
async fn every_documented_operation_exists() {
    let directory = Directory::open();
    let (_, app) = app(&directory);
    for operation in openapi::operations() {
        let path = operation
            .path
            .replace("{team}", "field-work")
            .replace("{job}", "0123456789abcdef")
            .replace("{server}", "w-1");
        let line = format!("{} {path}", operation.method.to_uppercase());
        let reply = call(&app, "", &line, &[], "").await;
        assert_eq!(reply.problem().code, Code::Unauthenticated, "{line}");
    }
    let served = call(&app, "", "GET /v1/openapi.json", &[], "").await.json();
    assert_eq!(served, openapi::document());
}
