//! The `OpenAPI` document of the administration API, generated from the types.

use schemars::generate::{SchemaGenerator, SchemaSettings};
use schemars::{JsonSchema, Schema};
use serde_json::{Map, Value, json};

use crate::check::TEXT_MAX_BYTES;
use crate::document::Document;
use crate::extract::IDEMPOTENCY_KEY;
use crate::model::{
    CancelJobs, DocumentAccepted, DocumentHistory, DocumentPage, DocumentView, HostList,
    JobAccepted, JobPage, JobView, JobsCancelled, PageQuery, ServerGone, ServerPage, SubmitJob,
};
use crate::problem::{PROBLEM_JSON, Problem};

/// One operation of the API.
pub struct Operation {
    /// Method in lower case.
    pub method: &'static str,
    /// Path with its parameters in braces.
    pub path: &'static str,
    name: &'static str,
    summary: &'static str,
    parameter: Option<&'static str>,
    header: Option<(&'static str, &'static str)>,
    is_list: bool,
    body: Option<SchemaFn>,
    answer: SchemaFn,
}

type SchemaFn = fn(&mut SchemaGenerator) -> Schema;

fn schema_of<T: JsonSchema>(generator: &mut SchemaGenerator) -> Schema {
    generator.subschema_for::<T>()
}

const fn operation(
    method: &'static str,
    path: &'static str,
    name: &'static str,
    summary: &'static str,
    answer: SchemaFn,
) -> Operation {
    Operation {
        method,
        path,
        name,
        summary,
        parameter: None,
        header: None,
        is_list: false,
        body: None,
        answer,
    }
}

impl Operation {
    const fn with_parameter(mut self, name: &'static str) -> Self {
        self.parameter = Some(name);
        self
    }

    const fn with_header(mut self, name: &'static str, description: &'static str) -> Self {
        self.header = Some((name, description));
        self
    }

    const fn with_page(mut self) -> Self {
        self.is_list = true;
        self
    }

    const fn with_body(mut self, body: SchemaFn) -> Self {
        self.body = Some(body);
        self
    }
}

/// Returns all operations of the API.
#[must_use]
pub fn operations() -> Vec<Operation> {
    let mut operations = document_operations();
    operations.extend(job_operations());
    operations.extend(host_operations());
    operations
}

fn document_operations() -> Vec<Operation> {
    let if_match =
        "Revision that is replaced; to be left out only if the team has no document yet.";
    vec![
        operation(
            "get",
            "/v1/documents",
            "listDocuments",
            "Lists documents in order of team.",
            schema_of::<DocumentPage>,
        )
        .with_page(),
        operation(
            "get",
            "/v1/documents/{team}",
            "getDocument",
            "Reads the document of a team; its revision is also the ETag.",
            schema_of::<DocumentView>,
        )
        .with_parameter("team"),
        operation(
            "put",
            "/v1/documents/{team}",
            "putDocument",
            "Replaces the document of a team.",
            schema_of::<DocumentAccepted>,
        )
        .with_parameter("team")
        .with_header("if-match", if_match)
        .with_body(schema_of::<Document>),
        operation(
            "get",
            "/v1/documents/{team}/history",
            "getDocumentHistory",
            "Returns the revision in force in each failure domain.",
            schema_of::<DocumentHistory>,
        )
        .with_parameter("team"),
    ]
}

fn job_operations() -> Vec<Operation> {
    let key = "Key under which the job is accepted once, however often it is submitted.";
    vec![
        operation(
            "get",
            "/v1/jobs",
            "listJobs",
            "Lists jobs in order of name.",
            schema_of::<JobPage>,
        )
        .with_page(),
        operation(
            "post",
            "/v1/jobs",
            "submitJob",
            "Submits a job; answers 201 once it is durable, 200 if it was accepted before.",
            schema_of::<JobAccepted>,
        )
        .with_header(IDEMPOTENCY_KEY, key)
        .with_body(schema_of::<SubmitJob>),
        operation(
            "post",
            "/v1/jobs/cancel",
            "cancelJobs",
            "Cancels jobs.",
            schema_of::<JobsCancelled>,
        )
        .with_body(schema_of::<CancelJobs>),
        operation(
            "get",
            "/v1/jobs/{job}",
            "getJob",
            "Reads a job.",
            schema_of::<JobView>,
        )
        .with_parameter("job"),
        operation(
            "delete",
            "/v1/jobs/{job}",
            "cancelJob",
            "Cancels a job.",
            schema_of::<JobsCancelled>,
        )
        .with_parameter("job"),
    ]
}

fn host_operations() -> Vec<Operation> {
    vec![
        operation(
            "get",
            "/v1/hosts",
            "listHosts",
            "Lists the entry hosts.",
            schema_of::<HostList>,
        ),
        operation(
            "get",
            "/v1/servers",
            "listServers",
            "Lists backend servers in order of name.",
            schema_of::<ServerPage>,
        )
        .with_page(),
        operation(
            "post",
            "/v1/servers/{server}/gone",
            "declareServerGone",
            "Declares that a backend server is gone and that nothing runs there; for operators.",
            schema_of::<ServerGone>,
        )
        .with_parameter("server"),
    ]
}

/// Returns the `OpenAPI` document.
#[must_use]
pub fn document() -> Value {
    let mut settings = SchemaSettings::draft2020_12();
    settings.definitions_path = "/components/schemas".into();
    let mut generator = settings.into_generator();
    let problem = schema_of::<Problem>(&mut generator);
    let page = page_parameters(&mut generator);
    let mut paths: Map<String, Value> = Map::new();
    for operation in operations() {
        let object = describe(&operation, &page, &problem, &mut generator);
        let path = paths.entry(operation.path).or_insert_with(|| json!({}));
        path[operation.method] = object;
    }
    json!({
        "openapi": "3.1.0",
        "info": {
            "title": "primrosestack administration",
            "version": env!("CARGO_PKG_VERSION"),
        },
        "security": [{ "token": [] }],
        "paths": paths,
        "components": {
            "securitySchemes": { "token": { "type": "http", "scheme": "bearer" } },
            "schemas": generator.take_definitions(true),
        },
    })
}

fn describe(
    operation: &Operation,
    page: &[Value],
    problem: &Schema,
    generator: &mut SchemaGenerator,
) -> Value {
    let mut parameters = Vec::new();
    if let Some(name) = operation.parameter {
        let schema = json!({ "type": "string" });
        parameters.push(json!({ "name": name, "in": "path", "required": true, "schema": schema }));
    }
    if let Some((name, description)) = operation.header {
        let is_required = name == IDEMPOTENCY_KEY;
        parameters.push(json!({
            "name": name,
            "in": "header",
            "required": is_required,
            "description": description,
            "schema": { "type": "string" },
        }));
    }
    if operation.is_list {
        parameters.extend_from_slice(page);
    }
    let answer = (operation.answer)(generator);
    let mut object = json!({
        "operationId": operation.name,
        "summary": operation.summary,
        "parameters": parameters,
        "responses": {
            "2XX": {
                "description": "Done.",
                "content": { "application/json": { "schema": answer } },
            },
            "default": {
                "description": "Refused; `code` gives the reason.",
                "content": { PROBLEM_JSON: { "schema": problem } },
            },
        },
    });
    if let Some(body) = operation.body {
        let schema = body(generator);
        object["requestBody"] = json!({
            "required": true,
            "description": format!("JSON with comments, at most {TEXT_MAX_BYTES} bytes."),
            "content": { "application/json": { "schema": schema } },
        });
    }
    object
}

/// Returns the fields of [`PageQuery`] as query parameters.
fn page_parameters(generator: &mut SchemaGenerator) -> Vec<Value> {
    let schema = PageQuery::json_schema(generator);
    let fields = schema.get("properties").and_then(Value::as_object);
    let mut parameters = Vec::new();
    for (name, field) in fields.into_iter().flatten() {
        parameters.push(json!({ "name": name, "in": "query", "schema": field }));
    }
    parameters
}
