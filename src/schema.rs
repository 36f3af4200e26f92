//! Validates a syntax tree against a JSON Schema, for the subset of JSON Schema that schemars generates.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use jsonc_parser::ast::{Array, NumberLit, Object, Value};
use jsonc_parser::common::{Range, Ranged};
use serde_json::Value as Json;

use crate::check::{FaultSink, is_valid_name, property_name, push_pointer};
use crate::model::JobName;

/// Format of names; see [`is_valid_name`].
pub const NAME_FORMAT: &str = "name";

/// Format of an address with a port.
pub const SOCKET_ADDRESS_FORMAT: &str = "socket-address";

/// Format of a SHA-256 in hexadecimal.
pub const SHA256_FORMAT: &str = "sha256";

/// Format of a job's name.
pub const JOB_FORMAT: &str = "job";

/// Validator for one schema document.
pub(crate) struct SchemaValidator<'s> {
    root: &'s Json,
}

impl<'s> SchemaValidator<'s> {
    pub(crate) fn new(root: &'s Json) -> Self {
        Self { root }
    }

    /// Validates a value and all values nested in it.
    pub(crate) fn check_value(
        &self,
        schema: &'s Json,
        value: &Value<'_>,
        pointer: &mut String,
        sink: &mut FaultSink<'_>,
    ) {
        let schema = self.resolve(schema);
        let is_null = matches!(value, Value::NullKeyword(_));
        if let Some(options) = schema.get("anyOf").and_then(Json::as_array) {
            let nullable = options.iter().any(|option| allows(option, "null"));
            if is_null && nullable {
                return;
            }
            if let Some(option) = options.iter().find(|option| !allows(option, "null")) {
                self.check_value(option, value, pointer, sink);
            }
            return;
        }
        if let Some(values) = enum_values(schema) {
            check_enum(&values, value, pointer, sink);
            return;
        }
        if is_null && allows(schema, "null") {
            return;
        }
        let kind = expected_kind(schema);
        match (value, kind) {
            (Value::Object(object), "object") => self.check_object(schema, object, pointer, sink),
            (Value::Array(array), "array") => self.check_array(schema, array, pointer, sink),
            (Value::NumberLit(number), "integer") => {
                check_integer(schema, number, pointer, sink);
            }
            (Value::StringLit(text), "string") => {
                check_string(schema, text.range, &text.value, pointer, sink);
            }
            (Value::BooleanLit(_), "boolean") | (_, "") => {}
            _ => sink.add_at(
                value.range(),
                pointer,
                describe(value),
                kind_with_article(kind),
            ),
        }
    }

    fn resolve(&self, schema: &'s Json) -> &'s Json {
        let mut schema = schema;
        // Bounded, so that a schema that refers to itself cannot cause an endless loop.
        for _ in 0..16 {
            let Some(reference) = schema.get("$ref").and_then(Json::as_str) else {
                break;
            };
            let target = self.root.pointer(reference.trim_start_matches('#'));
            schema = target.unwrap_or(&Json::Null);
        }
        schema
    }

    fn check_object(
        &self,
        schema: &'s Json,
        object: &Object<'_>,
        pointer: &mut String,
        sink: &mut FaultSink<'_>,
    ) {
        let known = schema.get("properties").and_then(Json::as_object);
        let other = schema.get("additionalProperties");
        let mut seen: BTreeSet<&str> = BTreeSet::new();
        for property in &object.properties {
            let name = property_name(property);
            let name_range = property.name.range();
            let length = pointer.len();
            push_pointer(pointer, name);
            if !seen.insert(name) {
                let found = format!("field {} twice", quote(name));
                sink.add_at(name_range, pointer, found, "each field once");
                pointer.truncate(length);
                continue;
            }
            if let Some(field) = known.and_then(|known| known.get(name)) {
                self.check_value(field, &property.value, pointer, sink);
            } else if let Some(Json::Object(_)) = other {
                check_key(schema, name_range, name, pointer, sink);
                self.check_value(other.unwrap_or(&Json::Null), &property.value, pointer, sink);
            } else if other == Some(&Json::Bool(false)) {
                let names = known.map(|known| join_quoted(known.keys().map(String::as_str)));
                let expected =
                    names.map_or_else(|| "no field".to_owned(), |names| format!("one of {names}"));
                let found = format!("unknown field {}", quote(name));
                sink.unknown_field(name_range, pointer, found, expected);
            }
            pointer.truncate(length);
        }
        let start = Range::new(object.range.start, object.range.start);
        let required = schema.get("required").and_then(Json::as_array);
        for name in required.into_iter().flatten().filter_map(Json::as_str) {
            if seen.contains(name) {
                continue;
            }
            let field = known.and_then(|known| known.get(name));
            let description = field.map_or(String::new(), |field| self.description(field));
            let found = format!("no field `{name}`");
            sink.add_at(start, pointer, found, format!("`{name}`{description}"));
        }
        let min = schema.get("minProperties").and_then(Json::as_u64);
        if min.is_some_and(|min| (seen.len() as u64) < min) {
            sink.add_at(start, pointer, "no entry", "at least one entry");
        }
    }

    /// Returns the first line of a field's description in parentheses.
    fn description(&self, field: &'s Json) -> String {
        let own = field.get("description");
        let text = own.or_else(|| self.resolve(field).get("description"));
        let Some(text) = text.and_then(Json::as_str) else {
            return String::new();
        };
        let first = text.lines().next().unwrap_or_default();
        format!(" ({})", first.trim_end_matches('.'))
    }

    fn check_array(
        &self,
        schema: &'s Json,
        array: &Array<'_>,
        pointer: &mut String,
        sink: &mut FaultSink<'_>,
    ) {
        let min = schema.get("minItems").and_then(Json::as_u64);
        if min.is_some_and(|min| (array.elements.len() as u64) < min) {
            sink.add_at(
                array.range,
                pointer,
                "an empty list",
                "at least one element",
            );
        }
        let max = schema.get("maxItems").and_then(Json::as_u64);
        if let Some(max) = max.filter(|max| array.elements.len() as u64 > *max) {
            let found = format!("{} elements", array.elements.len());
            sink.add_at(array.range, pointer, found, format!("at most {max}"));
        }
        let Some(items) = schema.get("items") else {
            return;
        };
        for (at, element) in array.elements.iter().enumerate() {
            let length = pointer.len();
            push_pointer(pointer, &at.to_string());
            self.check_value(items, element, pointer, sink);
            pointer.truncate(length);
        }
    }
}

fn allows(schema: &Json, kind: &str) -> bool {
    match schema.get("type") {
        Some(Json::String(only)) => only == kind,
        Some(Json::Array(kinds)) => kinds.iter().any(|one| one == kind),
        _ => false,
    }
}

fn expected_kind(schema: &Json) -> &str {
    let kind = match schema.get("type") {
        Some(Json::Array(kinds)) => kinds.iter().find(|kind| *kind != "null"),
        kind => kind,
    };
    kind.and_then(Json::as_str).unwrap_or_default()
}

/// Returns the values that an enumeration allows.
fn enum_values(schema: &Json) -> Option<Vec<&str>> {
    if let Some(values) = schema.get("enum").and_then(Json::as_array) {
        return Some(values.iter().filter_map(Json::as_str).collect());
    }
    let options = schema.get("oneOf").and_then(Json::as_array)?;
    let has_const = |option: &'_ Json| option.get("const").is_some();
    if !options.iter().all(has_const) {
        return None;
    }
    let const_text = |option| Json::get(option, "const").and_then(Json::as_str);
    Some(options.iter().filter_map(const_text).collect())
}

fn check_enum(values: &[&str], value: &Value<'_>, pointer: &str, sink: &mut FaultSink<'_>) {
    let value_text = value.as_string_lit().map(|text| text.value.as_ref());
    if value_text.is_some_and(|value_text| values.contains(&value_text)) {
        return;
    }
    let expected = format!("one of {}", join_quoted(values.iter().copied()));
    sink.add_at(value.range(), pointer, describe(value), expected);
}

fn check_integer(schema: &Json, number: &NumberLit<'_>, pointer: &str, sink: &mut FaultSink<'_>) {
    let bits = match schema.get("format").and_then(Json::as_str) {
        Some("uint8") => u64::from(u8::MAX),
        Some("uint16") => u64::from(u16::MAX),
        Some("uint32") => u64::from(u32::MAX),
        _ => u64::MAX,
    };
    let min = schema.get("minimum").and_then(Json::as_u64).unwrap_or(0);
    let max = schema.get("maximum").and_then(Json::as_u64).unwrap_or(bits);
    let fits = number.value.parse::<u64>();
    if fits.is_ok_and(|integer| (min..=max).contains(&integer)) {
        return;
    }
    let expected = format!("a whole number from {min} to {max}");
    sink.add_at(number.range, pointer, number.value, expected);
}

fn check_string(schema: &Json, range: Range, text: &str, pointer: &str, sink: &mut FaultSink<'_>) {
    let Some(expected) = expected_format(schema, text) else {
        return;
    };
    sink.add_at(range, pointer, quote(text), expected);
}

/// Checks a key of a map against `propertyNames`, which holds the schema of the keys.
fn check_key(schema: &Json, range: Range, key: &str, pointer: &str, sink: &mut FaultSink<'_>) {
    let Some(names) = schema.get("propertyNames") else {
        return;
    };
    if let Some(expected) = expected_format(names, key) {
        sink.add_at(range, pointer, quote(key), expected);
    }
}

/// Describes the format that a schema requires, if `text` does not match it.
fn expected_format(schema: &Json, text: &str) -> Option<&'static str> {
    let (fits, expected) = match schema.get("format").and_then(Json::as_str)? {
        NAME_FORMAT => (
            is_valid_name(text),
            "a name of 1 to 63 lower-case letters, digits and inner hyphens",
        ),
        SOCKET_ADDRESS_FORMAT => (
            text.parse::<SocketAddr>().is_ok(),
            "an IP address and a port, such as \"10.0.0.1:7400\"",
        ),
        SHA256_FORMAT => (
            text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit()),
            "64 hexadecimal digits",
        ),
        JOB_FORMAT => (
            text.parse::<JobName>().is_ok(),
            "a job: 16 hexadecimal digits",
        ),
        _ => return None,
    };
    (!fits).then_some(expected)
}

fn describe(value: &Value<'_>) -> String {
    match value {
        Value::StringLit(text) => quote(&text.value),
        Value::NumberLit(number) => format!("the number {}", number.value),
        Value::BooleanLit(boolean) => boolean.value.to_string(),
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        Value::NullKeyword(_) => "null".to_owned(),
    }
}

/// Quotes the text and truncates it, so that a fault stays on one line.
fn quote(text: &str) -> String {
    let mut short: String = text.chars().take(60).collect();
    if short.len() < text.len() {
        short.push('…');
    }
    format!("{short:?}")
}

fn kind_with_article(kind: &str) -> &'static str {
    match kind {
        "object" => "an object",
        "array" => "a list",
        "integer" => "a whole number",
        "string" => "a string",
        "boolean" => "true or false",
        _ => "another value",
    }
}

fn join_quoted<'a>(words: impl Iterator<Item = &'a str>) -> String {
    let quoted: Vec<String> = words.map(|word| format!("`{word}`")).collect();
    quoted.join(", ")
}
