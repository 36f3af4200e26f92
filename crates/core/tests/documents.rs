//! Documents never revert, and all processes converge on the same ones.

use primrosestack_core::digest::{Document, DocumentHead};
use primrosestack_core::documents::{ApplyOutcome, Documents, EditError, Serving, StoreComparison};
use primrosestack_core::ids::Revision;
use primrosestack_core::time::MonoMs;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn document(team: &str, revision: u64, text: &str) -> Document {
    Document {
        team: team.into(),
        revision,
        text: text.into(),
    }
}

fn open() -> Documents<Serving> {
    Documents::open("poa".into(), MonoMs(0)).serve()
}

/// Sends `to` the documents of `from` that it lacks or holds in an older version.
fn exchange(from: &mut Documents<Serving>, to: &mut Documents<Serving>) {
    let buckets = to.compare("from", "poa", from.digest());
    let heads: Vec<DocumentHead> = to.heads(&buckets);
    for document in from.newer_than("to", "cxs", &buckets, &heads) {
        to.apply(document);
    }
}

/// Guards against digests that are sent while nothing differs, and against a root hash that hides a difference in one
/// document or in the known revisions of a peer.
#[test]
fn a_digest_is_sent_only_while_the_roots_differ() {
    let (mut own, mut peer) = (open(), open());
    for documents in [&mut own, &mut peer] {
        documents.apply(document("a", 1, "one"));
    }
    let first_root = Some(peer.digest().root());
    assert!(!own.compare_root(MonoMs(0), "b", "cxs", first_root));
    assert_eq!(own.in_force("a")[0].revision, 1);
    peer.apply(document("a", 2, "two"));
    let second_root = Some(peer.digest().root());
    assert!(own.compare_root(MonoMs(500), "b", "cxs", second_root));
    assert!(!own.compare_root(MonoMs(1_000), "b", "cxs", second_root));
    assert!(own.compare_root(MonoMs(2_500), "b", "cxs", second_root));
    own.apply(document("a", 2, "two"));
    assert!(!own.compare_root(MonoMs(3_000), "b", "cxs", second_root));
    let domains = own.in_force("a");
    assert!(
        domains.iter().all(|domain| domain.revision == 2),
        "{domains:?}"
    );
    assert!(own.compare_root(MonoMs(5_000), "b", "cxs", None));
}

/// Guards against a stale read or a slow peer that puts an older document in force.
#[test]
fn a_lower_revision_is_ignored() {
    let mut documents = open();
    assert_eq!(
        documents.apply(document("a", 2, "two")),
        ApplyOutcome::InForce
    );
    assert_eq!(
        documents.apply(document("a", 1, "one")),
        ApplyOutcome::Stale
    );
    assert_eq!(documents.get("a").unwrap().revision, 2);
}

/// Guards against a store that was restored from a backup and keeps an old document, and against the silent loss of an
/// edit that it accepted since under the revision of the document in force.
#[test]
fn a_restored_store_is_written_back() {
    let mut documents = open();
    documents.apply(document("a", 3, "three"));
    for (stored, written) in [(None, 3), (Some(document("a", 1, "one")), 3)] {
        let comparison = documents.read_from_store("a", Revision(9), stored);
        let StoreComparison::WriteBack { expected, document } = comparison else {
            panic!("{comparison:?}");
        };
        assert_eq!((expected, document.revision), (Revision(9), written));
    }
    let other = document("a", 3, "other");
    let comparison = documents.read_from_store("a", Revision(9), Some(other));
    let in_force = documents.get("a").unwrap().clone();
    match comparison {
        StoreComparison::InForce => assert_eq!(&*in_force.text, "other"),
        StoreComparison::WriteBack { document, .. } => assert_eq!(document.revision, 4),
        StoreComparison::Agrees => panic!("two texts of one revision went unnoticed"),
    }
    assert_eq!(documents.absent_from(&[]), ["a"]);
}

/// Guards against accepting an edit below the revision in force, which would never take effect.
#[test]
fn an_edit_needs_the_current_revision() {
    let mut documents = open();
    let second = document("a", 2, "two");
    documents.apply(second.clone());
    let edit = documents.edit("a", 2, Some(&second), "three".into());
    assert_eq!(edit.unwrap().revision, 3);
    let conflict = documents.edit("a", 1, Some(&second), "three".into());
    assert!(matches!(
        conflict,
        Err(EditError::RevisionConflict { current: 2, .. })
    ));
    let first = document("a", 1, "one");
    let store_behind = documents.edit("a", 2, Some(&first), "three".into());
    assert!(matches!(
        store_behind,
        Err(EditError::StoreBehind { current: 2, .. })
    ));
}

/// Guards against reporting a document as in force before the slowest known host has it.
#[test]
fn a_domain_has_the_lowest_revision_of_its_hosts() {
    let mut documents = open();
    documents.apply(document("a", 2, "two"));
    let same = documents.digest().clone();
    documents.compare("h1", "cxs", &same);
    let head = document("a", 1, "one").head();
    let bucket = u32::try_from(primrosestack_core::digest::bucket_of("a")).unwrap();
    documents.newer_than("h2", "cxs", &[bucket], &[head]);
    let known = documents.in_force("a");
    let revisions: Vec<u64> = known.iter().map(|domain| domain.revision).collect();
    assert_eq!(revisions, [1, 2]);
    documents.remove_host("h2");
    assert_eq!(documents.in_force("a")[0].revision, 2);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against digests that miss a difference, and against exchanges that lower a revision.
    #[test]
    fn exchanges_converge(
        writes in prop::collection::vec((0_usize..2, 0_u32..40, 1_u64..5, 0_u32..3), 0..80),
    ) {
        let mut hosts = [open(), open()];
        let mut highest = std::collections::BTreeMap::new();
        for (host, team, revision, text) in writes {
            let team = format!("team-{team}");
            hosts[host].apply(document(&team, revision, &text.to_string()));
            let known: &mut u64 = highest.entry(team).or_default();
            *known = (*known).max(revision);
        }
        let [one, two] = &mut hosts;
        exchange(one, two);
        exchange(two, one);
        prop_assert_eq!(one.all(), two.all());
        prop_assert_eq!(one.digest(), two.digest());
        for (team, revision) in highest {
            prop_assert_eq!(one.get(&team).unwrap().revision, revision);
        }
    }
}
