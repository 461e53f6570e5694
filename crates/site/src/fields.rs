//! Typed access to a TOML table. Each field is read by name; an invalid field is reported as a finding and replaced by a
//! default, so that one pass over the file finds every error.

use crate::finding::Findings;
use std::ops::{Range, RangeBounds};
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// Minimum Jaro-Winkler similarity, 0 to 1, at which a known name is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.7;

/// A table of the site file and the keys that have been read from it.
pub(crate) struct Fields<'a, 'i> {
    /// Full name of the table; empty for the root.
    path: String,
    /// Position of the table in the file.
    pub span: Range<usize>,
    table: Option<&'a DeTable<'i>>,
    /// Keys that have been read; all others are reported by [`Fields::finish`].
    known_keys: Vec<&'static str>,
    /// The value is not a table. This has been reported, so missing fields are not reported as well.
    is_invalid: bool,
}

/// A TOML value with its position.
pub(crate) type Value<'a, 'i> = &'a Spanned<DeValue<'i>>;

/// Name of a value's type, as used in findings.
pub(crate) fn type_name(value: &DeValue<'_>) -> &'static str {
    match value {
        DeValue::String(_) => "a text",
        DeValue::Integer(_) => "a whole number",
        DeValue::Float(_) => "a number",
        DeValue::Boolean(_) => "true or false",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "a list",
        DeValue::Table(_) => "a table",
    }
}

impl<'a, 'i> Fields<'a, 'i> {
    /// The root table of a file.
    pub fn root(table: &'a Spanned<DeTable<'i>>) -> Self {
        Fields {
            path: String::new(),
            span: table.span(),
            table: Some(table.get_ref()),
            known_keys: Vec::new(),
            is_invalid: false,
        }
    }

    /// Full name of a field of this table.
    pub fn field_name(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.to_string();
        }
        format!("{}.{key}", self.path)
    }

    /// Returns a value and records its key as known.
    fn get(&mut self, key: &'static str) -> Option<Value<'a, 'i>> {
        self.known_keys.push(key);
        let table = self.table?;
        table.iter().find(|(k, _)| k.get_ref() == key).map(|(_, value)| value)
    }

    /// Position of a field, or of the table if the field is missing.
    pub fn span_of(&self, key: &str) -> Range<usize> {
        let entry = self.table.and_then(|t| t.iter().find(|(k, _)| k.get_ref() == key));
        entry.map_or(self.span.clone(), |(_, v)| v.span())
    }

    /// Returns a subtable; an empty one if it is missing.
    pub fn table(&mut self, key: &'static str, findings: &mut Findings<'_>) -> Fields<'a, 'i> {
        let (path, value) = (self.field_name(key), self.get(key));
        Self::from_value(path, value, self.span.clone(), findings)
    }

    /// Wraps a value that must be a table and reports it otherwise.
    fn from_value(
        path: String, value: Option<Value<'a, 'i>>, outer: Range<usize>, findings: &mut Findings<'_>,
    ) -> Fields<'a, 'i> {
        let span = value.map_or(outer, |v| v.span());
        let table = value.and_then(|v| match v.get_ref() {
            DeValue::Table(table) => Some(table),
            other => {
                findings.add(
                    &span,
                    &path,
                    format!("is {}, where a table is needed: [{path}]", type_name(other)),
                );
                None
            }
        });
        let is_invalid = value.is_some() && table.is_none();
        Fields { path, span, table, known_keys: Vec::new(), is_invalid }
    }

    /// Returns the named tables below a key, such as `[class.NAME]`, each with its name and the position of the name.
    pub fn tables(
        &mut self, key: &'static str, findings: &mut Findings<'_>,
    ) -> Vec<(String, Range<usize>, Fields<'a, 'i>)> {
        let all = self.table(key, findings);
        let entries = all.table.into_iter().flat_map(|t| t.iter());
        let tables = entries.map(|(name, value)| {
            let text = name.get_ref().to_string();
            let fields = Self::from_value(all.field_name(&text), Some(value), all.span.clone(), findings);
            (text, name.span(), fields)
        });
        tables.collect()
    }

    /// Whether the table is present in the file.
    pub fn is_present(&self) -> bool {
        self.table.is_some() || self.is_invalid
    }

    /// Returns all fields of a table with user-defined names, in file order: name, position and string. Values that are not
    /// strings are reported.
    pub fn string_entries(&mut self, findings: &mut Findings<'_>) -> Vec<(String, Range<usize>, String)> {
        let mut entries = Vec::new();
        for (key, value) in self.table.into_iter().flat_map(|t| t.iter()) {
            let name = key.get_ref().to_string();
            match text(value.get_ref()) {
                Ok(text) => entries.push((name, value.span(), text.to_string())),
                Err(problem) => findings.add(&value.span(), &self.field_name(&name), problem),
            }
        }
        entries.sort_by_key(|(_, span, _)| span.start);
        entries
    }

    /// Returns the string values of a field in all named tables below a key.
    pub fn nested_strings(&self, tables: &str, field: &str) -> Vec<&'a str> {
        let lookup = |table: &'a DeTable<'i>, key: &str| {
            table.iter().find(|(k, _)| k.get_ref() == key).map(|(_, value)| value.get_ref())
        };
        let all = self.table.and_then(|t| lookup(t, tables)).and_then(|v| v.as_table());
        let each = all.into_iter().flat_map(|t| t.iter()).filter_map(|(_, v)| v.get_ref().as_table());
        each.filter_map(|t| lookup(t, field)?.as_str()).collect()
    }

    /// Reads and converts a field. Returns `Some(None)` if it is missing, and `None` if it is invalid, which is reported.
    pub fn parse<T>(
        &mut self, key: &'static str, findings: &mut Findings<'_>,
        convert: impl Fn(&DeValue<'_>) -> Result<T, String>,
    ) -> Option<Option<T>> {
        let name = self.field_name(key);
        let Some(value) = self.get(key) else { return Some(None) };
        match convert(value.get_ref()) {
            Ok(converted) => Some(Some(converted)),
            Err(problem) => {
                findings.add(&value.span(), &name, problem);
                None
            }
        }
    }

    /// Reads a required field. If it is missing or invalid, this is reported and `fallback` is returned.
    pub fn required<T>(
        &mut self, key: &'static str, fallback: T, example: &str, findings: &mut Findings<'_>,
        convert: impl Fn(&DeValue<'_>) -> Result<T, String>,
    ) -> T {
        match self.parse(key, findings, convert) {
            Some(Some(value)) => value,
            Some(None) => {
                if !self.is_invalid {
                    findings.add(
                        &self.span,
                        &self.field_name(key),
                        format!("is missing; for example: {key} = {example}"),
                    );
                }
                fallback
            }
            None => fallback,
        }
    }

    /// Reads an optional field. If it is missing or invalid, `default` is returned; only an invalid field is reported.
    pub fn optional<T>(
        &mut self, key: &'static str, default: T, findings: &mut Findings<'_>,
        convert: impl Fn(&DeValue<'_>) -> Result<T, String>,
    ) -> T {
        self.parse(key, findings, convert).flatten().unwrap_or(default)
    }

    /// Reports every key of the table that was not read, with the most similar known key.
    pub fn finish(self, findings: &mut Findings<'_>) {
        for (key, _) in self.table.into_iter().flat_map(|t| t.iter()) {
            let text = key.get_ref().as_ref();
            if self.known_keys.contains(&text) {
                continue;
            }
            let similarity = |known: &&str| strsim::jaro_winkler(text, known);
            let nearest =
                self.known_keys.iter().copied().max_by(|a, b| similarity(a).total_cmp(&similarity(b)));
            let hint = match nearest.filter(|known| similarity(known) >= MIN_SIMILARITY) {
                Some(known) => format!("is not a known key; {known:?} is the nearest"),
                None => format!("is not a known key; expected one of: {}", self.known_keys.join(", ")),
            };
            findings.add(&key.span(), &self.field_name(text), hint);
        }
    }
}

/// Converts a string.
pub(crate) fn text<'v>(value: &'v DeValue<'_>) -> Result<&'v str, String> {
    value.as_str().ok_or_else(|| format!("is {}, where a text in quotes is needed", type_name(value)))
}

/// Converts a string with a parser.
pub(crate) fn parsed<T>(
    convert: impl Fn(&str) -> Result<T, String>,
) -> impl Fn(&DeValue<'_>) -> Result<T, String> {
    move |value| convert(text(value)?)
}

/// Converts a list of strings, each with a parser.
pub(crate) fn list_of<T>(
    convert: impl Fn(&str) -> Result<T, String>,
) -> impl Fn(&DeValue<'_>) -> Result<Vec<T>, String> {
    move |value| match value {
        DeValue::Array(items) => items.iter().map(|item| convert(text(item.get_ref())?)).collect(),
        other => Err(format!("is {}, where a list of texts is needed: [\"..\", \"..\"]", type_name(other))),
    }
}

/// Restricts a conversion to a range; `shown` is the range as displayed in findings.
pub(crate) fn within<T: PartialOrd>(
    range: impl RangeBounds<T>, shown: &'static str, convert: impl Fn(&DeValue<'_>) -> Result<T, String>,
) -> impl Fn(&DeValue<'_>) -> Result<T, String> {
    move |value| {
        let converted = convert(value)?;
        if range.contains(&converted) {
            return Ok(converted);
        }
        Err(format!("is out of its range: {shown}"))
    }
}

/// Converts a non-negative integer.
pub(crate) fn integer(value: &DeValue<'_>) -> Result<u64, String> {
    let number = match value {
        DeValue::Integer(i) => {
            i64::from_str_radix(i.as_str(), i.radix()).ok().and_then(|n| u64::try_from(n).ok())
        }
        _ => None,
    };
    number.ok_or_else(|| format!("is {}, where a whole number from 0 on is needed", describe(value)))
}

/// Converts a finite number, integer or not.
pub(crate) fn number(value: &DeValue<'_>) -> Result<f64, String> {
    let number = match value {
        DeValue::Float(f) => f.as_str().parse::<f64>().ok().filter(|n| n.is_finite()),
        DeValue::Integer(_) => Some(integer(value)? as f64),
        _ => None,
    };
    number.ok_or_else(|| format!("is {}, where a number is needed", describe(value)))
}

/// A value as displayed in findings: numbers literally, other values by their type.
fn describe(value: &DeValue<'_>) -> String {
    match value {
        DeValue::Integer(i) => i.as_str().to_string(),
        DeValue::Float(f) => f.as_str().to_string(),
        other => type_name(other).to_string(),
    }
}

/// Converts a boolean.
pub(crate) fn boolean(value: &DeValue<'_>) -> Result<bool, String> {
    value.as_bool().ok_or_else(|| format!("is {}, where true or false is needed", type_name(value)))
}
