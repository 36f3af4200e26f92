//! `primrosestack host`: entry hosts and backend servers.

use bpaf::Bpaf;
use smol_str::SmolStr;

use crate::cmd::error::CommandError;
use crate::cmd::output::{Table, or_dash, print, print_json};
use crate::cmd::{Connection, block_on, connection};
use crate::model::{HostList, PageQuery, ServerPage};

/// Arguments of `host`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub enum Options {
    /// Lists the entry hosts
    #[bpaf(command)]
    List {
        #[bpaf(external)]
        connection: Connection,
    },
    /// Lists backend servers
    #[bpaf(command)]
    Servers {
        /// Only servers in this failure domain
        #[bpaf(argument("NAME"))]
        failure_domain: Option<SmolStr>,
        /// Value of NEXT of the previous page
        #[bpaf(argument("SERVER"))]
        after: Option<SmolStr>,
        /// Most servers to list (default: 100)
        #[bpaf(argument("COUNT"))]
        limit: Option<u32>,
        #[bpaf(external)]
        connection: Connection,
    },
    /// Declares that a backend server is gone; its tasks start elsewhere and may run twice if it is still up
    #[bpaf(command)]
    Gone {
        #[bpaf(external)]
        connection: Connection,
        /// Backend server
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

/// Performs one call on hosts.
///
/// # Errors
///
/// Returns [`CommandError`] if the call fails or is refused.
pub fn run(options: Options) -> Result<(), CommandError> {
    match options {
        Options::List { connection } => block_on(list(connection)),
        Options::Servers {
            failure_domain,
            after,
            limit,
            connection,
        } => {
            let query = PageQuery {
                team: None,
                failure_domain,
                after,
                limit,
            };
            block_on(servers(query, connection))
        }
        Options::Gone { connection, name } => block_on(gone(connection, name)),
    }
}

async fn list(connection: Connection) -> Result<(), CommandError> {
    let json = connection.json;
    let hosts = connection.open()?.hosts().await?;
    if json {
        return print_json(&hosts);
    }
    print(&host_table(&hosts))
}

async fn servers(query: PageQuery, connection: Connection) -> Result<(), CommandError> {
    let json = connection.json;
    let page = connection.open()?.servers(&query).await?;
    if json {
        return print_json(&page);
    }
    print(&server_table(&page))
}

async fn gone(connection: Connection, name: String) -> Result<(), CommandError> {
    let json = connection.json;
    let answer = connection.open()?.declare_gone(&name).await?;
    if json {
        return print_json(&answer);
    }
    let released = answer.tasks_released;
    print(&format!(
        "{} is gone; {released} tasks may run elsewhere\n",
        answer.server
    ))
}

fn host_table(list: &HostList) -> String {
    let mut table = Table::new(&[
        "host",
        "failure domain",
        "state",
        "reason",
        "shards",
        "running",
        "queued",
        "free slots",
        "heard ms ago",
    ]);
    for host in &list.hosts {
        let shards: Vec<String> = host.shards.iter().map(u32::to_string).collect();
        table.push(vec![
            host.name.to_string(),
            host.failure_domain.to_string(),
            host.state.as_str().to_owned(),
            or_dash(host.out_reason.as_ref()),
            or_dash((!shards.is_empty()).then(|| shards.join(","))),
            host.requests_running.to_string(),
            host.requests_queued.to_string(),
            host.slots_free.to_string(),
            or_dash(host.heard_ms_ago),
        ]);
    }
    table.render()
}

fn server_table(page: &ServerPage) -> String {
    let mut table = Table::new(&[
        "server",
        "failure domain",
        "rack",
        "shard",
        "owner",
        "epoch",
        "state",
        "reason",
        "millicores",
        "memory mib",
        "tasks",
        "slots",
        "heard ms ago",
    ]);
    for server in &page.servers {
        table.push(vec![
            server.name.to_string(),
            server.failure_domain.to_string(),
            server.rack.to_string(),
            server.shard.to_string(),
            or_dash(server.owner.as_ref()),
            or_dash(server.epoch.as_ref()),
            server.state.as_str().to_owned(),
            or_dash(server.out_reason.as_ref()),
            format!("{}/{}", server.reserved.millicores, server.size.millicores),
            format!("{}/{}", server.reserved.memory_mib, server.size.memory_mib),
            server.tasks.to_string(),
            server.slots_used.to_string(),
            or_dash(server.heard_ms_ago),
        ]);
    }
    table.render_page(page.next.as_deref())
}
