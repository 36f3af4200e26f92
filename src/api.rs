//! HTTP routes of the administration API, which call [`Control`].

use std::sync::Arc;
use std::time::Duration;

use axum::extract::{Request, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::middleware::{Next, from_fn};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};

use crate::auth::{Auth, AuthError, Caller};
use crate::check;
use crate::control::{Cancellation, Control, PutDocument, Submission};
use crate::document::Document;
use crate::extract::{
    App, Authenticated, BodyText, PageParams, PathName, bad_request, check_name, idempotency_key,
    if_match,
};
use crate::model::{
    CancelJobs, DocumentAccepted, DocumentHistory, DocumentPage, HostList, JobName, JobPage,
    JobView, JobsCancelled, PAGE_MAX, PageQuery, ServerGone, ServerPage, SubmitJob,
};
use crate::openapi;
use crate::problem::{Code, Problem};

/// Below the 20,000 ms that a graceful stop waits for requests in flight.
const CALL_TIMEOUT_MS: u64 = 15_000;

type SharedApp<C> = State<Arc<App<C>>>;
type JsonResult<T> = Result<Json<T>, Problem>;

/// Returns the routes of the administration API. They authenticate callers with `auth` and call `control`.
pub fn router<C: Control>(control: C, auth: Auth) -> Router {
    let app = Arc::new(App { control, auth });
    Router::new()
        .route("/v1/openapi.json", get(openapi_json))
        .route("/v1/documents", get(documents::<C>))
        .route(
            "/v1/documents/{team}",
            get(document::<C>).put(put_document::<C>),
        )
        .route("/v1/documents/{team}/history", get(document_history::<C>))
        .route("/v1/jobs", get(jobs::<C>).post(submit::<C>))
        .route("/v1/jobs/cancel", post(cancel_many::<C>))
        .route("/v1/jobs/{job}", get(job::<C>).delete(cancel_one::<C>))
        .route("/v1/hosts", get(hosts::<C>))
        .route("/v1/servers", get(servers::<C>))
        .route("/v1/servers/{server}/gone", post(declare_gone::<C>))
        .fallback(path_not_found)
        .method_not_allowed_fallback(method_not_allowed)
        .layer(from_fn(with_timeout))
        .with_state(app)
}

/// Answers [`Code::OutcomeUnknown`] if a call takes longer than [`CALL_TIMEOUT_MS`].
async fn with_timeout(request: Request, next: Next) -> Response {
    let limit = Duration::from_millis(CALL_TIMEOUT_MS);
    let response = tokio::time::timeout(limit, next.run(request)).await;
    response.unwrap_or_else(|_| Problem::new(Code::OutcomeUnknown).into_response())
}

async fn path_not_found() -> Problem {
    Problem::new(Code::NotFound)
}

async fn method_not_allowed() -> Problem {
    Problem::new(Code::MethodNotAllowed)
}

async fn openapi_json() -> Json<serde_json::Value> {
    Json(openapi::document())
}

async fn documents<C: Control>(
    Authenticated(caller): Authenticated,
    State(app): SharedApp<C>,
    PageParams(query): PageParams,
) -> JsonResult<DocumentPage> {
    let query = limit_to_scope(&caller, query)?;
    Ok(Json(app.control.documents(query).await?))
}

async fn document<C: Control>(
    Authenticated(caller): Authenticated,
    State(app): SharedApp<C>,
    PathName(team): PathName,
) -> Result<Response, Problem> {
    check_name("team", &team)?;
    caller.require_team(&team)?;
    let view = app.control.document(team).await?;
    let tag = etag(view.revision);
    Ok(([(header::ETAG, tag)], Json(view)).into_response())
}

async fn put_document<C: Control>(
    Authenticated(caller): Authenticated,
    State(app): SharedApp<C>,
    PathName(team): PathName,
    headers: HeaderMap,
    BodyText(text): BodyText,
) -> Result<Response, Problem> {
    check_name("team", &team)?;
    caller.require_team(&team)?;
    let expected = if_match(&headers)?;
    let document = Document::read_for(&text, Some(&team))?;
    let by = caller.client;
    let change = PutDocument {
        document,
        text,
        expected,
        by: by.clone(),
    };
    let accepted = app.control.put_document(change).await;
    let accepted = accepted.map_err(|refusal| {
        let mut problem = Problem::from(refusal);
        if problem.code == Code::RevisionConflict && expected.is_none() {
            problem = problem.with_code(Code::RevisionRequired);
        }
        problem
    })?;
    let revision = accepted.revision;
    log::info!("event=document_accepted team={team} revision={revision} by={by:?}");
    let tag = etag(revision);
    let answer: Json<DocumentAccepted> = Json(accepted);
    Ok(([(header::ETAG, tag)], answer).into_response())
}

async fn document_history<C: Control>(
    Authenticated(caller): Authenticated,
    State(app): SharedApp<C>,
    PathName(team): PathName,
) -> JsonResult<DocumentHistory> {
    check_name("team", &team)?;
    caller.require_team(&team)?;
    Ok(Json(app.control.document_history(team).await?))
}

async fn jobs<C: Control>(
    Authenticated(caller): Authenticated,
    State(app): SharedApp<C>,
    PageParams(query): PageParams,
) -> JsonResult<JobPage> {
    let query = limit_to_scope(&caller, query)?;
    Ok(Json(app.control.jobs(query).await?))
}

async fn submit<C: Control>(
    Authenticated(caller): Authenticated,
    State(app): SharedApp<C>,
    headers: HeaderMap,
    BodyText(text): BodyText,
) -> Result<Response, Problem> {
    let key = idempotency_key(&headers)?;
    let job: SubmitJob = check::read(&text, |_, _| {})?;
    let job_team = job.team.clone().or_else(|| caller.team.clone());
    let team =
        job_team.ok_or_else(|| bad_request("team: expected a team, since the token has none"))?;
    caller.require_team(&team)?;
    let client = job.client.clone().unwrap_or_else(|| caller.client.clone());
    // A token is bound to one client, so that its bearer cannot use the share of another client.
    if !caller.is_operator && client != caller.client {
        return Err(AuthError::Forbidden.into());
    }
    let submission = Submission {
        id: JobName::from_key(&team, key).0,
        team,
        client,
        job,
    };
    let accepted = app.control.submit(submission).await?;
    let status = if accepted.new {
        StatusCode::CREATED
    } else {
        StatusCode::OK
    };
    Ok((status, Json(accepted)).into_response())
}

async fn job<C: Control>(
    Authenticated(caller): Authenticated,
    State(app): SharedApp<C>,
    PathName(name): PathName,
) -> JsonResult<JobView> {
    let view = app.control.job(parse_job_name(&name)?).await?;
    // A job of another team is answered like one that does not exist.
    caller
        .require_team(&view.team)
        .map_err(|_| job_not_found(&name))?;
    Ok(Json(view))
}

async fn cancel_one<C: Control>(
    Authenticated(caller): Authenticated,
    State(app): SharedApp<C>,
    PathName(name): PathName,
) -> JsonResult<JobsCancelled> {
    let cancellation = Cancellation {
        team: caller.scope(),
        jobs: vec![parse_job_name(&name)?],
    };
    let answer = app.control.cancel(cancellation).await?;
    if !answer.unknown.is_empty() {
        return Err(job_not_found(&name));
    }
    log::info!("event=jobs_cancelled count=1 by={:?}", caller.client);
    Ok(Json(answer))
}

async fn cancel_many<C: Control>(
    Authenticated(caller): Authenticated,
    State(app): SharedApp<C>,
    BodyText(text): BodyText,
) -> JsonResult<JobsCancelled> {
    let CancelJobs { mut jobs } = check::read(&text, |_, _| {})?;
    jobs.sort_unstable();
    jobs.dedup();
    let cancellation = Cancellation {
        team: caller.scope(),
        jobs,
    };
    let answer = app.control.cancel(cancellation).await?;
    let count = answer.cancelled.len();
    log::info!("event=jobs_cancelled count={count} by={:?}", caller.client);
    Ok(Json(answer))
}

async fn hosts<C: Control>(
    Authenticated(_): Authenticated,
    State(app): SharedApp<C>,
) -> JsonResult<HostList> {
    Ok(Json(app.control.hosts().await?))
}

async fn servers<C: Control>(
    Authenticated(_): Authenticated,
    State(app): SharedApp<C>,
    PageParams(query): PageParams,
) -> JsonResult<ServerPage> {
    check_limit(&query)?;
    Ok(Json(app.control.servers(query).await?))
}

async fn declare_gone<C: Control>(
    Authenticated(caller): Authenticated,
    State(app): SharedApp<C>,
    PathName(server): PathName,
) -> JsonResult<ServerGone> {
    caller.require_operator()?;
    let by = caller.client;
    let answer = app.control.declare_gone(server, by.clone()).await?;
    log::info!(
        "event=server_declared_gone server={:?} by={by:?}",
        answer.server
    );
    Ok(Json(answer))
}

/// Restricts a list query to the caller's team, unless the caller is an operator.
fn limit_to_scope(caller: &Caller, mut query: PageQuery) -> Result<PageQuery, Problem> {
    check_limit(&query)?;
    if let Some(team) = &query.team {
        caller.require_team(team)?;
    }
    if let Some(team) = caller.scope() {
        query.team = Some(team);
    }
    Ok(query)
}

fn check_limit(query: &PageQuery) -> Result<(), Problem> {
    match query.limit {
        Some(limit) if !(1..=PAGE_MAX).contains(&limit) => {
            Err(bad_request(format!("limit: expected 1 to {PAGE_MAX}")))
        }
        _ => Ok(()),
    }
}

fn parse_job_name(name: &str) -> Result<JobName, Problem> {
    name.parse().map_err(|_| job_not_found(name))
}

fn job_not_found(name: &str) -> Problem {
    Problem::new(Code::NotFound).with_detail(format!("job {name:?} does not exist"))
}

fn etag(revision: u64) -> HeaderValue {
    let quoted = format!("\"{revision}\"");
    // Digits in quotes are always a valid header value.
    HeaderValue::try_from(quoted).unwrap_or_else(|_| HeaderValue::from_static("\"0\""))
}
