//! Settings and tokens files: examples, schemas, faults and the environment.

use std::fs;
use std::path::Path;
use std::process::{Command, Output};

use primrosestack::openapi;
use primrosestack::settings::{Settings, TokensFile};
use test_case::test_case;

const FICHALUZ: &str = include_str!("../examples/settings/fichaluz-poa-1.jsonc");
const RUTA_CARIBE: &str = include_str!("../examples/settings/ruta-caribe-limon-1.jsonc");
const TOKENS: &str = include_str!("../examples/settings/tokens.jsonc");

fn primrosestack(arguments: &[&str], environment: &[(&str, &str)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_primrosestack"));
    command.args(arguments).env_clear();
    command.envs(environment.iter().copied());
    command.output().unwrap()
}

/// Guards against example settings that the program rejects.
#[test_case(FICHALUZ, "poa"; "fichaluz")]
#[test_case(RUTA_CARIBE, "limon"; "ruta caribe")]
fn example_is_accepted(text: &str, failure_domain: &str) {
    let settings = Settings::read(text).unwrap();
    assert_eq!(settings.failure_domain, failure_domain);
    assert_eq!(settings.store_writes_per_s, 20);
}

/// Guards against an example tokens file whose hashes do not match the tokens that it names.
#[test]
fn example_tokens_have_the_hashes_of_the_named_tokens() {
    let file = TokensFile::read(TOKENS).unwrap();
    for (token, named) in file
        .tokens
        .iter()
        .zip(["example-operator", "example-field-work"])
    {
        assert_eq!(token.sha256, primrosestack::auth::token_sha256(named));
    }
}

/// Guards against generated files that differ from the types they are generated from.
#[test_case("schemas/settings.schema.json", &Settings::schema(); "settings")]
#[test_case("schemas/tokens.schema.json", &TokensFile::schema(); "tokens")]
#[test_case("docs/openapi.json", &openapi::document(); "openapi")]
fn generated_file_equals_types(file: &str, value: &serde_json::Value) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(file);
    assert_eq!(fs::read_to_string(path).unwrap(), format!("{value:#}\n"));
}

/// Guards against faults that serde alone accepts or reports without a position.
#[test_case("\"10.20.1.1:7401\"", "\"10.20.1.1:7400\"", "/admin_address"; "duplicate address")]
#[test_case("\"10.20.1.1:7401\"", "\"poa-1:7401\"", "/admin_address"; "host name as address")]
#[test_case("\"name\": \"poa-2\"", "\"name\": \"poa-3\"", "/peers/2/name"; "duplicate peer")]
#[test_case("\"name\": \"poa-1\", \"failure_domain\": \"poa\"", "\"name\": \"poa-1\", \"failure_domain\": \"cxs\"", "/peers/0/failure_domain"; "own failure domain")]
#[test_case("\"cxs\": { \"price_ms\": 20 }", "\"poa\": { \"price_ms\": 20 }", "/links/poa"; "link to itself")]
#[test_case("\"info\"", "\"verbose\"", "/log_level"; "log level")]
#[test_case("\"clock_drift_ppm\": 10000", "\"clock_drift_ppm\": 0", "/clock_drift_ppm"; "no clock drift")]
#[test_case("\"log_level\"", "\"limits\": {\"bodies_bytes\": 4096}, \"log_level\"", "/limits/bodies_bytes"; "less than one body")]
#[test_case("\"clock_drift_ppm\"", "\"clock_drift\"", "/clock_drift"; "unknown field")]
fn fault_has_a_position(from: &str, to: &str, pointer: &str) {
    assert!(FICHALUZ.contains(from));
    let faults = Settings::read(&FICHALUZ.replace(from, to)).unwrap_err().0;
    assert_eq!(faults.len(), 1, "{faults:?}");
    assert_eq!(faults[0].pointer, pointer);
    assert!(faults[0].line > 1);
}

/// Guards against accepting a tokens file with mistakes, such as a token without permissions or a malformed team name.
#[test_case("\"operator\": true", "\"operator\": false", "/tokens/0"; "no permissions")]
#[test_case("\"team\": \"field-work\",", "\"team\": \"field work\",", "/tokens/1/team"; "malformed name")]
fn fault_in_tokens_has_a_position(from: &str, to: &str, pointer: &str) {
    assert!(TOKENS.contains(from));
    let faults = TokensFile::read(&TOKENS.replace(from, to)).unwrap_err().0;
    assert_eq!(faults[0].pointer, pointer);
}

/// Guards against printed defaults that are not valid settings.
#[test]
fn printed_defaults_are_settings() {
    let output = primrosestack(&["settings", "--print-defaults"], &[]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(Settings::read(&text).unwrap().clock_drift_ppm, 10_000);
}

/// Guards against environment variables that are ignored or not validated.
#[test]
fn environment_names_file_and_level() {
    let file = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/examples/settings/fichaluz-poa-1.jsonc"
    );
    let named = ("PRIMROSESTACK_SETTINGS", file);
    let output = primrosestack(
        &["settings"],
        &[named, ("PRIMROSESTACK_LOG_LEVEL", "debug")],
    );
    let settings = Settings::read(std::str::from_utf8(&output.stdout).unwrap()).unwrap();
    assert_eq!((&*settings.name, &*settings.log_level), ("poa-1", "debug"));
    let output = primrosestack(&["settings"], &[named, ("PRIMROSESTACK_LOG_LEVEL", "loud")]);
    assert_eq!(output.status.code(), Some(2));
    let output = primrosestack(&["settings"], &[]);
    assert_eq!(output.status.code(), Some(2));
}

/// Guards against changes of the exit codes and fault positions that scripts rely on.
#[test]
fn check_reports_all_faults_of_all_files() {
    let directory =
        std::env::temp_dir().join(format!("primrosestack-check-{}", std::process::id()));
    fs::create_dir_all(&directory).unwrap();
    let one = directory.join("one.jsonc");
    let two = directory.join("two.jsonc");
    fs::write(&one, "{\n  \"team\": \"a b\"\n}").unwrap();
    fs::write(&two, FICHALUZ.replace("\"info\"", "3")).unwrap();
    let arguments = ["check", one.to_str().unwrap(), two.to_str().unwrap()];
    let output = primrosestack(&arguments, &[]);
    fs::remove_dir_all(&directory).unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(text.lines().count(), 4, "{text}");
    assert!(
        text.contains(&format!("{}:2:11: /team: ", one.display())),
        "{text}"
    );
    assert!(
        text.contains(&format!("{}:30:16: /log_level: ", two.display())),
        "{text}"
    );
}

/// Guards against missing help, version, completions or exit codes of the command line.
#[test_case(&["--version"], 0, "0.1.0"; "version")]
#[test_case(&["job", "submit", "--help"], 0, "--key=KEY"; "help")]
#[test_case(&["--bpaf-complete-style-bash"], 0, "primrosestack"; "bash")]
#[test_case(&["--bpaf-complete-rev=8", "docu"], 0, "document"; "completion")]
#[test_case(&["check"], 2, ""; "no file")]
#[test_case(&["check", "/does/not/exist"], 2, ""; "missing file")]
#[test_case(&["no-such-command"], 2, ""; "unknown command")]
#[test_case(&["host", "list"], 2, ""; "no address")]
#[test_case(&["host", "list", "--address", "127.0.0.1:1"], 3, ""; "nothing listens")]
#[test_case(&["job", "cancel", "12"], 2, ""; "not a job")]
fn command_line_answers(arguments: &[&str], code: i32, printed: &str) {
    let output = primrosestack(arguments, &[]);
    assert_eq!(output.status.code(), Some(code));
    let stdout = String::from_utf8(output.stdout).unwrap();
    assert!(stdout.contains(printed), "{stdout}");
    assert_eq!(output.stderr.is_empty(), code == 0);
}
