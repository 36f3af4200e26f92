//! `primrosestack job`: batch jobs.

use std::time::Duration;

use bpaf::{Bpaf, Parser};
use smol_str::SmolStr;
use snafu::ensure;

use crate::client::Client;
use crate::cmd::error::{CommandError, JobFailedSnafu, UnknownJobsSnafu, UsageSnafu};
use crate::cmd::output::{Table, or_dash, print, print_json};
use crate::cmd::{Connection, block_on, connection};
use crate::document::Size;
use crate::model::{JobName, JobPage, JobView, PageQuery, SubmitJob};

/// Consecutive polls of a watched job that may fail, since entry hosts are replaced at any time.
const FAILED_POLLS_MAX: u32 = 10;

/// Whether and how often to poll a job.
#[derive(Clone, Copy, Debug, Bpaf)]
#[bpaf(generate(watch))]
pub struct Watch {
    /// Show changes until the job is over
    #[bpaf(long("watch"))]
    enabled: bool,
    /// Polling interval for a watched job in milliseconds (default: 1000)
    #[bpaf(argument("MS"), fallback(1_000))]
    every_ms: u64,
}

/// Arguments of `job`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub enum Options {
    /// Submits a job; prints its name once it is durable
    #[bpaf(command)]
    Submit {
        /// Key under which the job is accepted once, however often it is submitted
        #[bpaf(argument("KEY"))]
        key: String,
        #[bpaf(external)]
        watch: Watch,
        #[bpaf(external)]
        submit_job: SubmitJob,
        #[bpaf(external)]
        connection: Connection,
    },
    /// Shows a job
    #[bpaf(command)]
    Get {
        #[bpaf(external)]
        watch: Watch,
        #[bpaf(external)]
        connection: Connection,
        /// Job
        #[bpaf(positional("JOB"))]
        job: JobName,
    },
    /// Lists jobs
    #[bpaf(command)]
    List {
        #[bpaf(external)]
        page_query: PageQuery,
        #[bpaf(external)]
        connection: Connection,
    },
    /// Cancels jobs; their tasks never start again
    #[bpaf(command)]
    Cancel {
        #[bpaf(external)]
        connection: Connection,
        /// Jobs
        #[bpaf(positional("JOB"), some("expected at least one JOB"))]
        jobs: Vec<JobName>,
    },
}

fn page_query() -> impl Parser<PageQuery> {
    let team = bpaf::long("team").help("Only jobs of this team");
    let team = team.argument::<SmolStr>("TEAM").optional();
    let failure_domain = bpaf::long("failure-domain").help("Only jobs in this failure domain");
    let failure_domain = failure_domain.argument::<SmolStr>("NAME").optional();
    let after = bpaf::long("after").help("Value of NEXT of the previous page");
    let after = after.argument::<SmolStr>("JOB").optional();
    let limit = bpaf::long("limit").help("Most jobs to list (default: 100)");
    let limit = limit.argument::<u32>("COUNT").optional();
    bpaf::construct!(PageQuery {
        team,
        failure_domain,
        after,
        limit
    })
}

fn submit_job() -> impl Parser<SubmitJob> {
    let kind = bpaf::long("kind").help("Kind of batch work, as named in the team's document");
    let kind = kind.argument::<SmolStr>("KIND");
    let tasks = bpaf::long("tasks").help("Number of tasks (default: 1)");
    let tasks = tasks.argument::<u32>("COUNT").fallback(1);
    let team = bpaf::long("team").help("Team (default: that of the token)");
    let team = team.argument::<SmolStr>("TEAM").optional();
    let client = bpaf::long("client").help("Client (default: that of the token)");
    let client = client.argument::<SmolStr>("CLIENT").optional();
    let failure_domain =
        bpaf::long("failure-domain").help("Failure domain (default: any of the kind)");
    let failure_domain = failure_domain.argument::<SmolStr>("NAME").optional();
    let run_ms = bpaf::long("run-ms").help("Expected run time of a task in milliseconds");
    let run_ms = run_ms.argument::<u64>("MS").optional();
    let finish_by_unix_ms =
        bpaf::long("finish-by-unix-ms").help("When all tasks should have ended");
    let finish_by_unix_ms = finish_by_unix_ms.argument::<u64>("MS").optional();
    let size = size().optional();
    bpaf::construct!(SubmitJob {
        team,
        client,
        kind,
        failure_domain,
        tasks,
        size,
        run_ms,
        finish_by_unix_ms
    })
}

fn size() -> impl Parser<Size> {
    let millicores =
        bpaf::long("millicores").help("Processor time of a task in thousandths of a core");
    let millicores = millicores.argument::<u32>("COUNT");
    let memory_mib = bpaf::long("memory-mib").help("Memory of a task in mebibytes");
    let memory_mib = memory_mib.argument::<u32>("MIB");
    let accelerators = bpaf::long("accelerators").help("Accelerators of a task (default: 0)");
    let accelerators = accelerators.argument::<u32>("COUNT").fallback(0);
    bpaf::construct!(Size {
        millicores,
        memory_mib,
        accelerators
    })
}

/// Performs one call on jobs.
///
/// # Errors
///
/// Returns [`CommandError`] if the call fails or is refused, or if a watched job ends with tasks that did not succeed.
pub fn run(options: Options) -> Result<(), CommandError> {
    match options {
        Options::Submit {
            key,
            watch,
            submit_job,
            connection,
        } => block_on(submit(&key, watch, submit_job, connection)),
        Options::Get {
            watch,
            connection,
            job,
        } => block_on(get(watch, connection, job)),
        Options::List {
            page_query,
            connection,
        } => block_on(list(page_query, connection)),
        Options::Cancel { connection, jobs } => block_on(cancel(connection, jobs)),
    }
}

async fn submit(
    key: &str,
    watch: Watch,
    job: SubmitJob,
    connection: Connection,
) -> Result<(), CommandError> {
    let expected = "--key of 1 to 256 characters";
    ensure!((1..=256).contains(&key.len()), UsageSnafu { expected });
    let json = connection.json;
    let client = connection.open()?;
    let accepted = client.submit(key, &job).await?;
    if json {
        print_json(&accepted)?;
    } else {
        let repeated = if accepted.new {
            ""
        } else {
            " (accepted before)"
        };
        print(&format!("{}{repeated}\n", accepted.job))?;
    }
    if !watch.enabled {
        return Ok(());
    }
    watch_until_finished(&client, json, accepted.job, watch.every_ms).await
}

async fn get(watch: Watch, connection: Connection, job: JobName) -> Result<(), CommandError> {
    let json = connection.json;
    let client = connection.open()?;
    if watch.enabled {
        return watch_until_finished(&client, json, job, watch.every_ms).await;
    }
    show(json, client.job(job).await?)
}

async fn list(query: PageQuery, connection: Connection) -> Result<(), CommandError> {
    let json = connection.json;
    let page = connection.open()?.jobs(&query).await?;
    if json {
        return print_json(&page);
    }
    print(&table(&page))
}

async fn cancel(connection: Connection, jobs: Vec<JobName>) -> Result<(), CommandError> {
    let json = connection.json;
    let answer = connection.open()?.cancel(jobs).await?;
    if json {
        print_json(&answer)?;
    } else {
        for job in &answer.cancelled {
            print(&format!("{job} cancelled\n"))?;
        }
        for job in &answer.unknown {
            print(&format!("{job} unknown\n"))?;
        }
    }
    let count = answer.unknown.len();
    ensure!(count == 0, UnknownJobsSnafu { count });
    Ok(())
}

/// Polls a job and shows each change until no task will run any more.
async fn watch_until_finished(
    client: &Client,
    json: bool,
    job: JobName,
    every_ms: u64,
) -> Result<(), CommandError> {
    let mut shown = None;
    let mut failed_polls = 0;
    loop {
        match client.job(job).await {
            Ok(view) => {
                failed_polls = 0;
                if shown.as_ref() != Some(&view) {
                    show(json, view.clone())?;
                }
                if view.is_finished() {
                    return check_outcome(&view);
                }
                shown = Some(view);
            }
            Err(source) => {
                failed_polls += 1;
                if failed_polls == FAILED_POLLS_MAX || !source.is_transient() {
                    let job = job.to_string();
                    return Err(CommandError::Watch { job, source });
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(every_ms)).await;
    }
}

fn check_outcome(view: &JobView) -> Result<(), CommandError> {
    let count = view.failed + view.cancelled + view.parked;
    let job = view.job.to_string();
    ensure!(count == 0, JobFailedSnafu { job, count });
    Ok(())
}

fn show(json: bool, view: JobView) -> Result<(), CommandError> {
    if json {
        return print_json(&view);
    }
    let page = JobPage {
        jobs: vec![view],
        next: None,
    };
    print(&table(&page))
}

fn table(page: &JobPage) -> String {
    let mut table = Table::new(&[
        "job",
        "team",
        "client",
        "kind",
        "place",
        "tasks",
        "pending",
        "running",
        "done",
        "failed",
        "cancelled",
        "parked",
        "reason",
    ]);
    for job in &page.jobs {
        table.push(vec![
            job.job.to_string(),
            job.team.to_string(),
            job.client.to_string(),
            job.kind.to_string(),
            job.failure_domain.to_string(),
            job.tasks.to_string(),
            job.pending.to_string(),
            job.running.to_string(),
            job.succeeded.to_string(),
            job.failed.to_string(),
            job.cancelled.to_string(),
            job.parked.to_string(),
            or_dash(job.parked_reason.as_ref()),
        ]);
    }
    table.render_page(page.next.as_deref())
}
