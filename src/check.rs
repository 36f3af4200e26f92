//! Validates JSON with comments against the JSON Schema of a type, and reports every fault with its position.

use std::fmt;
use std::path::Path;

use jsonc_parser::ast::{ObjectProp, Value};
use jsonc_parser::common::{Range, Ranged};
use jsonc_parser::tokens::Token;
use jsonc_parser::{CollectOptions, ParseOptions, Scanner, parse_to_ast};
use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::schema::SchemaValidator;

/// Bounds the recursion of the parser; no known field is nested deeper than 8.
const DEPTH_MAX: usize = 64;

/// Largest accepted text, in bytes: the store holds values of up to 1 MB, and base64 adds a third.
pub const TEXT_MAX_BYTES: usize = 524_288;

/// Most faults listed for a text: computing a position scans the text up to it, and a line may be the whole text.
pub const FAULTS_MAX: usize = 1_000;

/// A fault in a text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
pub struct Fault {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// JSON Pointer to the value; empty for the whole text.
    pub pointer: String,
    /// What was found.
    pub found: String,
    /// What was expected.
    pub expected: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.line, self.column)?;
        if !self.pointer.is_empty() {
            write!(f, "{}: ", self.pointer)?;
        }
        write!(f, "found {}, expected {}", self.found, self.expected)
    }
}

/// All faults of one text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// One line per fault, each starting with the file's name; no newline at the end.
    #[must_use]
    pub fn render(&self, file: &Path) -> String {
        let line = |fault| format!("{}:{fault}", file.display());
        let lines: Vec<String> = self.0.iter().map(line).collect();
        lines.join("\n")
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for fault in &self.0 {
            write!(f, "{separator}{fault}")?;
            separator = "; ";
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// Collects faults while a text is checked.
pub struct FaultSink<'a> {
    text: &'a str,
    root: Option<&'a Value<'a>>,
    faults: Vec<Fault>,
    /// JSON Pointers of unknown fields, which are removed before deserialization.
    unknown: Vec<String>,
}

impl FaultSink<'_> {
    /// Records a fault at an unknown field.
    pub(crate) fn unknown_field(
        &mut self,
        range: Range,
        pointer: &str,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) {
        self.add_at(range, pointer, found, expected);
        if self.faults.len() <= FAULTS_MAX {
            self.unknown.push(pointer.to_owned());
        }
    }

    /// Records a fault at a byte range.
    pub(crate) fn add_at(
        &mut self,
        range: Range,
        pointer: &str,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) {
        if self.faults.len() > FAULTS_MAX {
            return;
        }
        let (line, column) = line_column(self.text, range.start);
        let (found, expected) = if self.faults.len() < FAULTS_MAX {
            (found.into(), expected.into())
        } else {
            ("more faults".into(), format!("at most {FAULTS_MAX} faults"))
        };
        self.faults.push(Fault {
            line,
            column,
            pointer: pointer.to_owned(),
            found,
            expected,
        });
    }

    /// Records a fault at the value that `path` leads to, or at the nearest enclosing value that exists.
    pub fn add(&mut self, path: &[&str], found: impl Into<String>, expected: impl Into<String>) {
        if self.faults.len() > FAULTS_MAX {
            return;
        }
        let mut pointer = String::new();
        let mut range = self.root.map_or(Range::new(0, 0), Ranged::range);
        let mut value = self.root;
        for step in path {
            push_pointer(&mut pointer, step);
            value = value.and_then(|value| child(value, step));
            let Some(value) = value else {
                continue;
            };
            range = value.range();
        }
        self.add_at(range, &pointer, found, expected);
    }
}

/// Parses and validates a `T` from JSON with comments.
///
/// The syntax tree is validated against the schema of `T`. Then `rules` adds the faults that a schema cannot express;
/// it is skipped if a field is missing or has the wrong type, but may see values that are out of range.
///
/// # Errors
///
/// Returns all faults in the order of the text.
pub fn read<T>(text: &str, rules: impl FnOnce(&T, &mut FaultSink<'_>)) -> Result<T, Faults>
where
    T: DeserializeOwned + JsonSchema,
{
    let mut sink = FaultSink {
        text,
        root: None,
        faults: Vec::new(),
        unknown: Vec::new(),
    };
    if text.len() > TEXT_MAX_BYTES {
        let found = format!("{} bytes", text.len());
        sink.add_at(
            Range::new(0, 0),
            "",
            found,
            format!("at most {TEXT_MAX_BYTES} bytes"),
        );
        return Err(Faults(sink.faults));
    }
    if !check_tokens(text, &mut sink) {
        return Err(Faults(sink.faults));
    }
    let options = ParseOptions {
        allow_loose_object_property_names: false,
        ..ParseOptions::default()
    };
    let value = match parse_to_ast(text, &CollectOptions::default(), &options) {
        Ok(parsed) => parsed.value,
        Err(error) => {
            let found = error.kind().to_string();
            sink.add_at(error.range(), "", found, "JSON with comments");
            return Err(Faults(sink.faults));
        }
    };
    let Some(value) = value else {
        sink.add_at(Range::new(0, 0), "", "no value", "an object");
        return Err(Faults(sink.faults));
    };
    sink.root = Some(&value);
    let schema = schemars::schema_for!(T);
    SchemaValidator::new(schema.as_value()).check_value(
        schema.as_value(),
        &value,
        &mut String::new(),
        &mut sink,
    );
    let mut plain = serde_json::Value::from(value.clone());
    for pointer in &sink.unknown {
        remove_field(&mut plain, pointer);
    }
    match serde_json::from_value::<T>(plain) {
        Ok(read) => {
            rules(&read, &mut sink);
            if sink.faults.is_empty() {
                return Ok(read);
            }
        }
        // The fault of a missing field or wrong type is recorded already.
        Err(_) if !sink.faults.is_empty() => {}
        Err(error) => sink.add(&[], error.to_string(), "a value that fits the schema"),
    }
    sink.faults.sort();
    sink.faults.dedup();
    Err(Faults(sink.faults))
}

/// Returns whether `name` is valid for a team, service, operation, host or failure domain.
#[must_use]
pub fn is_valid_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let bytes = name.as_bytes();
    (1..=63).contains(&bytes.len())
        && bytes.iter().copied().all(allowed)
        && !name.starts_with('-')
        && !name.ends_with('-')
}

/// Returns the value of a property by name, or of an element by index.
fn child<'a>(value: &'a Value<'a>, step: &str) -> Option<&'a Value<'a>> {
    match value {
        Value::Object(object) => object.properties.iter().find_map(|property| {
            let is_match = property_name(property) == step;
            is_match.then_some(&property.value)
        }),
        Value::Array(array) => array.elements.get(step.parse::<usize>().ok()?),
        _ => None,
    }
}

/// Removes the field at a JSON Pointer.
fn remove_field(value: &mut serde_json::Value, pointer: &str) {
    let Some((parent, step)) = pointer.rsplit_once('/') else {
        return;
    };
    let name = step.replace("~1", "/").replace("~0", "~");
    if let Some(object) = value
        .pointer_mut(parent)
        .and_then(serde_json::Value::as_object_mut)
    {
        object.remove(&name);
    }
}

pub(crate) fn property_name<'a>(property: &'a ObjectProp<'a>) -> &'a str {
    property.name.as_str()
}

/// Appends a step to a JSON Pointer.
pub(crate) fn push_pointer(pointer: &mut String, step: &str) {
    pointer.push('/');
    pointer.push_str(&step.replace('~', "~0").replace('/', "~1"));
}

fn line_column(text: &str, byte: usize) -> (usize, usize) {
    let before = &text.as_bytes()[..byte.min(text.len())];
    let line_start = before
        .iter()
        .rposition(|byte| *byte == b'\n')
        .map_or(0, |at| at + 1);
    let line = before.split(|byte| *byte == b'\n').count();
    let is_char_start = |byte: &&u8| (**byte & 0xC0) != 0x80;
    let column = 1 + before[line_start..].iter().filter(is_char_start).count();
    (line, column)
}

/// Records syntax that the parser accepts although it is not JSON with comments, and nesting deeper than [`DEPTH_MAX`].
///
/// Returns false if the text must not be passed to the parser.
fn check_tokens(text: &str, sink: &mut FaultSink<'_>) -> bool {
    let mut scanner = Scanner::new(text);
    let mut depth = 0_usize;
    let mut ends_value = false;
    // The parser reports errors of the scanner, too.
    while let Ok(Some(token)) = scanner.scan() {
        let range = Range::new(scanner.token_start(), scanner.token_end());
        match token {
            Token::CommentLine(_) | Token::CommentBlock(_) => continue,
            Token::OpenBrace | Token::OpenBracket => depth += 1,
            Token::CloseBrace | Token::CloseBracket => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > DEPTH_MAX {
            let expected = format!("at most {DEPTH_MAX} levels of nesting");
            sink.add_at(range, "", "deeper nesting", expected);
            return false;
        }
        if text.as_bytes().get(range.start) == Some(&b'\'') {
            sink.add_at(range, "", "a string in single quotes", "double quotes");
        }
        let punctuates = matches!(token, Token::Comma | Token::Colon);
        let closes = matches!(token, Token::CloseBrace | Token::CloseBracket);
        if ends_value && depth > 0 && !punctuates && !closes {
            sink.add_at(range, "", "no comma before this", "a comma");
        }
        let opens = matches!(token, Token::OpenBrace | Token::OpenBracket);
        ends_value = !punctuates && !opens;
    }
    true
}
