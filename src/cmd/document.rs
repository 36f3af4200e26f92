//! `primrosestack document`: service documents.

use std::path::PathBuf;

use bpaf::Bpaf;
use smol_str::SmolStr;
use snafu::ResultExt;

use crate::cmd::error::{CommandError, FaultySnafu, ReadSnafu};
use crate::cmd::output::{Table, or_dash, print, print_json};
use crate::cmd::{Connection, block_on, connection};
use crate::document::Document;
use crate::model::{DocumentHistory, DocumentPage, PageQuery};

/// Arguments of `document`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub enum Options {
    /// Lists the documents
    #[bpaf(command)]
    List {
        /// Value of NEXT of the previous page
        #[bpaf(argument("TEAM"))]
        after: Option<SmolStr>,
        /// Most documents to list (default: 100)
        #[bpaf(argument("COUNT"))]
        limit: Option<u32>,
        #[bpaf(external)]
        connection: Connection,
    },
    /// Prints the text of a document; its revision goes to standard error
    #[bpaf(command)]
    Get {
        #[bpaf(external)]
        connection: Connection,
        /// Team
        #[bpaf(positional("TEAM"))]
        team: String,
    },
    /// Checks a document and writes it
    #[bpaf(command)]
    Put {
        /// Revision that it replaces; left out for the first document of a team
        #[bpaf(argument("REVISION"))]
        if_match: Option<u64>,
        #[bpaf(external)]
        connection: Connection,
        /// File with the document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Shows the revision in force in each failure domain
    #[bpaf(command)]
    History {
        #[bpaf(external)]
        connection: Connection,
        /// Team
        #[bpaf(positional("TEAM"))]
        team: String,
    },
}

/// Performs one call on documents.
///
/// # Errors
///
/// Returns [`CommandError`] if the document has faults, or the call fails or is refused.
pub fn run(options: Options) -> Result<(), CommandError> {
    match options {
        Options::List {
            after,
            limit,
            connection,
        } => block_on(list(after, limit, connection)),
        Options::Get { connection, team } => block_on(get(connection, team)),
        Options::Put {
            if_match,
            connection,
            file,
        } => block_on(put(if_match, connection, file)),
        Options::History { connection, team } => block_on(history(connection, team)),
    }
}

async fn list(
    after: Option<SmolStr>,
    limit: Option<u32>,
    connection: Connection,
) -> Result<(), CommandError> {
    let query = PageQuery {
        after,
        limit,
        ..PageQuery::default()
    };
    let json = connection.json;
    let page = connection.open()?.documents(&query).await?;
    if json {
        return print_json(&page);
    }
    print(&list_table(&page))
}

async fn get(connection: Connection, team: String) -> Result<(), CommandError> {
    let json = connection.json;
    let view = connection.open()?.document(&team).await?;
    if json {
        return print_json(&view);
    }
    eprintln!("revision {}", view.revision);
    print(&view.text)
}

async fn put(
    if_match: Option<u64>,
    connection: Connection,
    file: PathBuf,
) -> Result<(), CommandError> {
    let text = std::fs::read_to_string(&file).context(ReadSnafu { path: &file })?;
    let checked = Document::read(&text);
    let document = checked.or_else(|faults| {
        let rendered = faults.render(&file);
        FaultySnafu { rendered }.fail()
    })?;
    let json = connection.json;
    let client = connection.open()?;
    let accepted = client.put_document(&document.team, if_match, text).await?;
    if json {
        return print_json(&accepted);
    }
    print(&format!(
        "{} has revision {}\n",
        accepted.team, accepted.revision
    ))
}

async fn history(connection: Connection, team: String) -> Result<(), CommandError> {
    let json = connection.json;
    let history = connection.open()?.document_history(&team).await?;
    if json {
        return print_json(&history);
    }
    print(&history_tables(&history))
}

fn list_table(page: &DocumentPage) -> String {
    let mut table = Table::new(&["team", "revision", "services", "batch"]);
    for entry in &page.documents {
        table.push(vec![
            entry.team.to_string(),
            entry.revision.to_string(),
            entry.services.to_string(),
            entry.batch.to_string(),
        ]);
    }
    table.render_page(page.next.as_deref())
}

fn history_tables(history: &DocumentHistory) -> String {
    let mut in_force = Table::new(&["failure domain", "revision", "state", "heard ms ago"]);
    for entry in &history.in_force {
        let state = match entry.revision {
            None => "unknown",
            Some(revision) if revision < history.revision => "behind",
            Some(_) => "in force",
        };
        in_force.push(vec![
            entry.failure_domain.to_string(),
            or_dash(entry.revision),
            state.to_owned(),
            or_dash(entry.heard_ms_ago),
        ]);
    }
    let mut changes = Table::new(&["revision", "at unix ms", "by"]);
    for change in &history.changes {
        changes.push(vec![
            change.revision.to_string(),
            change.at_unix_ms.to_string(),
            change.by.to_string(),
        ]);
    }
    format!("{}\n{}", in_force.render(), changes.render())
}
