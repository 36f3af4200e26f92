//! Service documents: all faults are reported with their positions, and no input makes the check panic.

use std::fmt::Write;
use std::fs;

use primrosestack::check::{FAULTS_MAX, Fault};
use primrosestack::document::Document;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

const FICHALUZ: &str = include_str!("../examples/documents/fichaluz.jsonc");
const RUTA_CARIBE: &str = include_str!("../examples/documents/ruta-caribe.jsonc");

fn faults(text: &str) -> Vec<Fault> {
    Document::read(text).expect_err("the text has faults").0
}

/// Line and column of the first occurrence of a word, both counted from 1.
fn position(text: &str, word: &str) -> (usize, usize) {
    let before = &text[..text.find(word).expect("the word is in the text")];
    let line = before.lines().count().max(1);
    let column = before.lines().last().unwrap_or_default().chars().count() + 1;
    (line, column)
}

/// Guards against example documents that the program rejects.
#[test_case(FICHALUZ, "job-sheets", "read-sheet", 5_000; "fichaluz")]
#[test_case(RUTA_CARIBE, "reservations", "find-bay", 800; "ruta caribe")]
fn example_is_accepted(text: &str, service: &str, operation: &str, deadline_ms: u32) {
    let document = Document::read(text).unwrap();
    let service = &document.services[service];
    assert_eq!(service.deadline_ms(operation), Some(deadline_ms));
    assert_eq!(service.deadline_ms("no-such-operation"), None);
}

/// Guards against a schema file that differs from the types it is generated from.
#[test]
fn schema_file_equals_types() {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/schemas/service-document.schema.json"
    );
    let written = serde_json::to_string_pretty(&Document::schema()).unwrap() + "\n";
    assert_eq!(fs::read_to_string(path).unwrap(), written);
}

/// Guards against a check that stops at the first fault.
#[test]
fn all_faults_are_reported_at_once() {
    let text = FICHALUZ
        .replace("\"team\": \"field-work\"", "\"team\": \"Field Work\"")
        .replace("\"idempotent\": false", "\"idempotent\": \"no\"")
        .replace("\"run_ms\": 120000", "\"run_minutes\": 2")
        .replace("\"good_ppm\": 995000", "\"good_ppm\": 1000000");
    let faults = faults(&text);
    let pointers: Vec<&str> = faults.iter().map(|fault| fault.pointer.as_str()).collect();
    let expected = [
        "/team",
        "/services/job-sheets/target/good_ppm",
        "/services/job-sheets/operations/close-sheet/idempotent",
        "/batch/photos",
        "/batch/photos/run_minutes",
    ];
    assert_eq!(pointers, expected);
    let positions: Vec<_> = faults
        .iter()
        .map(|fault| (fault.line, fault.column))
        .collect();
    let words = [
        "\"Field Work\"",
        "1000000",
        "\"no\"",
        "{\n      \"failure_domains\": [\"poa\", \"pel\"]",
        "\"run_minutes\"",
    ];
    for (at, word) in words.into_iter().enumerate() {
        assert_eq!(positions[at], position(&text, word), "{word}");
    }
    assert!(faults[4].expected.contains("`run_ms`"), "{}", faults[4]);
}

/// Guards against rules that are checked only once all other faults are fixed, and against rules that overflow on
/// values that are out of range.
#[test]
fn rules_are_checked_beside_other_faults() {
    let text = FICHALUZ
        .replace(
            "\"team\": \"field-work\",",
            "\"team\": \"field-work\", \"owner/s\": 1,",
        )
        .replace(
            "\"latency_permille\": 250",
            "\"latency_permille\": 4294967295",
        )
        .replace(
            "\"throughput_permille\": 500",
            "\"throughput_permille\": 4294967295",
        )
        .replace("\"latency_ms\": 800", "\"latency_ms\": 6000");
    let faults = faults(&text);
    let pointers: Vec<&str> = faults.iter().map(|fault| fault.pointer.as_str()).collect();
    let expected = [
        "/owner~1s",
        "/objective",
        "/objective/latency_permille",
        "/objective/throughput_permille",
        "/services/job-sheets/target/latency_ms",
    ];
    assert_eq!(pointers, expected);
}

/// Guards against documents that fit the schema but contain contradictory values.
#[test_case("\"throughput_permille\": 500", "\"throughput_permille\": 600", "/objective"; "weights")]
#[test_case("[\"poa\", \"pel\"]", "[\"poa\", \"poa\"]", "/batch/photos/failure_domains/1"; "repeated failure domain")]
#[test_case("\"latency_ms\": 800", "\"latency_ms\": 6000", "/services/job-sheets/target/latency_ms"; "target after deadline")]
#[test_case("\"slots\": 400", "\"slots\": 0", "/quota/slots"; "no slots")]
#[test_case("\"millicores\": 4000,", "\"millicores\": 4000000,", "/batch/invoices/size/millicores"; "size over quota")]
#[test_case("\"invoices\"", "\"job-sheets\"", "/batch/job-sheets"; "duplicate name")]
#[test_case("\"connections_per_server\": 64", "\"connections_per_server\": 4", "/services/job-sheets/slots_per_server"; "too few connections")]
fn contradiction_is_a_fault(from: &str, to: &str, pointer: &str) {
    assert!(FICHALUZ.contains(from));
    let faults = faults(&FICHALUZ.replace(from, to));
    assert_eq!(faults.len(), 1, "{faults:?}");
    assert_eq!(faults[0].pointer, pointer);
    assert!(faults[0].line > 1);
}

/// Guards against syntax faults without a position, and against deep nesting that overflows the stack.
#[test_case("", 1, 1; "empty")]
#[test_case("{\n  \"team\": ,\n}", 2, 11; "missing value")]
#[test_case("{\"team\": \"é\", \"team\": \"b\"}", 1, 15; "repeated field")]
#[test_case("[]", 1, 1; "a list")]
#[test_case("{\"a\": 1 // one\n \"b\": 2}", 2, 2; "no comma between fields")]
#[test_case("{\"a\": [1 {}]}", 1, 10; "no comma between elements")]
#[test_case("{\"team\": 'a'}", 1, 10; "single quotes")]
#[test_case("{\"team\": 05}", 1, 11; "leading zero")]
#[test_case(&"[".repeat(100_000), 1, 65; "deep nesting")]
#[test_case(&" ".repeat(600_000), 1, 1; "too long")]
fn syntax_fault_has_a_position(text: &str, line: usize, column: usize) {
    let faults = faults(text);
    let at = (line, column);
    let found = faults.iter().any(|fault| (fault.line, fault.column) == at);
    assert!(found, "{faults:?}");
}

const SEED: u64 = 20_261_204;

fn seeded() -> ProptestConfig {
    println!("seed {SEED}");
    ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Guards against documents with many faults that take time or memory quadratic in their size.
#[test]
fn fault_list_is_truncated() {
    let mut text = String::from("{");
    for at in 0..40_000 {
        write!(text, "\"f{at}\": 0, ").unwrap();
    }
    text.push('}');
    let faults = faults(&text);
    assert_eq!(faults.len(), FAULTS_MAX + 1);
    let more = faults.iter().filter(|fault| fault.found == "more faults");
    assert_eq!(more.count(), 1);
    let names = vec!["\"poa\""; 65].join(", ");
    let faults = Document::read(&FICHALUZ.replace("\"poa\", \"pel\"", &names))
        .unwrap_err()
        .0;
    assert_eq!(faults[0].expected, "at most 64");
}

proptest! {
    #![proptest_config(seeded())]

    /// Guards against texts that make the parser or the check panic.
    #[test]
    fn arbitrary_text_never_panics(text in any::<String>()) {
        let _ = Document::read(&text);
    }

    /// As above, with texts made of the tokens of the language.
    #[test]
    fn arbitrary_tokens_never_panic(text in r#"([{}\[\]:,"'\\/*\-0-9.eEtfnu é€\n]|true|null|"team"|"quota"){0,64}"#) {
        let _ = Document::read(&text);
    }

    /// As above, with a valid document of which a random range of bytes is replaced.
    #[test]
    fn damaged_document_never_panics(at in 0..RUTA_CARIBE.len(), length in 0_usize..40, patch in any::<Vec<u8>>()) {
        check_damaged(at, length, &patch)?;
    }

    /// Guards against values that fit the schema but not the type, whose faults would have no position.
    #[test]
    fn damaged_value_has_a_position(at in 0..RUTA_CARIBE.len(), length in 0_usize..4, patch in r#"[0-9.eE+"\-]{0,3}"#) {
        check_damaged(at, length, patch.as_bytes())?;
    }
}

fn check_damaged(at: usize, length: usize, patch: &[u8]) -> Result<(), TestCaseError> {
    let mut bytes = RUTA_CARIBE.as_bytes().to_vec();
    let end = (at + length).min(bytes.len());
    bytes.splice(at..end, patch.iter().copied());
    let text = String::from_utf8_lossy(&bytes);
    let Err(faults) = Document::read(&text) else {
        return Ok(());
    };
    prop_assert!(!faults.0.is_empty());
    for fault in faults.0 {
        prop_assert!(fault.line >= 1 && fault.column >= 1);
        prop_assert_ne!(fault.expected, "a value that fits the schema");
    }
    Ok(())
}
