//! Searches for servers that an advisor allows, among the shards of other owners.

use primrosestack_fleet::advice_queries::{AdviceAnswer, AdviceQuery};
use prost::Message;
use smol_str::SmolStr;

use crate::daemon::clock::now_ms;
use crate::daemon::node::Node;

/// Bytes of the steps in a request, which is limited to 4,096 with its other fields.
const QUERY_BYTES_MAX: usize = 3_000;

/// Steps of the owned shards for which other shards should look for servers, with the failure domains of these shards.
pub(super) fn take_queries(node: &Node) -> Vec<(SmolStr, AdviceQuery)> {
    let mut queries = Vec::new();
    let mut bytes_left = QUERY_BYTES_MAX;
    for owned in node.owned_shards.borrow().iter() {
        let taken = owned
            .shard
            .borrow_mut()
            .take_advice_queries(bytes_left, now_ms());
        let bytes: usize = taken.iter().map(Message::encoded_len).sum();
        bytes_left = bytes_left.saturating_sub(bytes);
        let domain = &owned.failure_domain;
        queries.extend(taken.into_iter().map(|query| (domain.clone(), query)));
    }
    queries
}

/// Passes the queries to the shards that this host owns itself.
pub(super) fn ask_owned(node: &Node, queries: &[(SmolStr, AdviceQuery)]) {
    for owned in node.owned_shards.borrow().iter() {
        let others = queries
            .iter()
            .filter(|(domain, _)| *domain != owned.failure_domain);
        let others: Vec<AdviceQuery> = others.map(|(_, query)| query.clone()).collect();
        let answers = owned
            .shard
            .borrow_mut()
            .answer_advice_queries(&others, now_ms());
        apply_answers(node, &owned.failure_domain, &answers);
    }
}

/// Applies what the owner of a shard has found to the other shards that this host owns.
pub(super) fn apply_answers(node: &Node, failure_domain: &SmolStr, answers: &[AdviceAnswer]) {
    if answers.is_empty() {
        return;
    }
    for owned in node.owned_shards.borrow().iter() {
        if owned.failure_domain != *failure_domain {
            owned
                .shard
                .borrow_mut()
                .apply_advice_answers(failure_domain, answers, now_ms());
        }
    }
}
