//! A table of the file, read field by field: each field once, by name, with what is wrong told and passed over, so
//! that one reading finds every mistake.

use crate::finding::Findings;
use std::ops::{Range, RangeBounds};
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// A name must be this alike (Jaro-Winkler, 0 to 1) to be offered in place of an unknown one.
const ALIKE: f64 = 0.7;

pub(crate) struct Fields<'a, 'i> {
    /// Full name of the table, empty at the top.
    path: String,
    /// Where the table begins.
    pub span: Range<usize>,
    table: Option<&'a DeTable<'i>>,
    asked: Vec<&'static str>,
    /// What stands here is no table: that is told, and what it lacks need not be.
    wrong: bool,
}

pub(crate) type Value<'a, 'i> = &'a Spanned<DeValue<'i>>;

pub(crate) fn kind_of(value: &DeValue<'_>) -> &'static str {
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
    pub fn top(table: &'a Spanned<DeTable<'i>>) -> Self {
        Fields {
            path: String::new(),
            span: table.span(),
            table: Some(table.get_ref()),
            asked: Vec::new(),
            wrong: false,
        }
    }

    /// The full name of a field of this table.
    pub fn name(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.to_string();
        }
        format!("{}.{key}", self.path)
    }

    fn get(&mut self, key: &'static str) -> Option<Value<'a, 'i>> {
        self.asked.push(key);
        let table = self.table?;
        table.iter().find(|(k, _)| k.get_ref() == key).map(|(_, value)| value)
    }

    /// Where a field stands, or its table where it is missing.
    pub fn place(&self, key: &str) -> Range<usize> {
        let found = self.table.and_then(|t| t.iter().find(|(k, _)| k.get_ref() == key));
        found.map_or(self.span.clone(), |(_, v)| v.span())
    }

    /// A table of this one; an empty one if it is missing.
    pub fn table(&mut self, key: &'static str, found: &mut Findings<'_>) -> Fields<'a, 'i> {
        let (path, value) = (self.name(key), self.get(key));
        Self::of(path, value, self.span.clone(), found)
    }

    fn of(
        path: String, value: Option<Value<'a, 'i>>, outer: Range<usize>, found: &mut Findings<'_>,
    ) -> Fields<'a, 'i> {
        let span = value.map_or(outer, |v| v.span());
        let table = value.and_then(|v| match v.get_ref() {
            DeValue::Table(table) => Some(table),
            other => {
                found.add(&span, &path, format!("is {}, where a table is needed: [{path}]", kind_of(other)));
                None
            }
        });
        let wrong = value.is_some() && table.is_none();
        Fields { path, span, table, asked: Vec::new(), wrong }
    }

    /// The tables below one of this table, `[class.NAME]` say, each with its name and the name's place.
    pub fn tables(
        &mut self, key: &'static str, found: &mut Findings<'_>,
    ) -> Vec<(String, Range<usize>, Fields<'a, 'i>)> {
        let all = self.table(key, found);
        let entries = all.table.into_iter().flat_map(|t| t.iter());
        let tables = entries.map(|(name, value)| {
            let text = name.get_ref().to_string();
            let fields = Self::of(all.name(&text), Some(value), all.span.clone(), found);
            (text, name.span(), fields)
        });
        tables.collect()
    }

    /// Whether it stands in the file.
    pub fn is_there(&self) -> bool {
        self.table.is_some() || self.wrong
    }

    /// Every field of a table whose names are the site's own, in the order of the file: name, place and text. What is no
    /// text is told.
    pub fn texts(&mut self, found: &mut Findings<'_>) -> Vec<(String, Range<usize>, String)> {
        let mut texts = Vec::new();
        for (key, value) in self.table.into_iter().flat_map(|t| t.iter()) {
            let name = key.get_ref().to_string();
            match text(value.get_ref()) {
                Ok(text) => texts.push((name, value.span(), text.to_string())),
                Err(problem) => found.add(&value.span(), &self.name(&name), problem),
            }
        }
        texts.sort_by_key(|(_, place, _)| place.start);
        texts
    }

    /// The texts that a field has in the tables below one of this table.
    pub fn texts_below(&self, tables: &str, field: &str) -> Vec<&'a str> {
        let below = |table: &'a DeTable<'i>, key: &str| {
            table.iter().find(|(k, _)| k.get_ref() == key).map(|(_, value)| value.get_ref())
        };
        let all = self.table.and_then(|t| below(t, tables)).and_then(|v| v.as_table());
        let each = all.into_iter().flat_map(|t| t.iter()).filter_map(|(_, v)| v.get_ref().as_table());
        each.filter_map(|t| below(t, field)?.as_str()).collect()
    }

    /// A field by its own conversion; `None` if it is missing or wrong, and then it is told.
    pub fn read<T>(
        &mut self, key: &'static str, found: &mut Findings<'_>,
        convert: impl Fn(&DeValue<'_>) -> Result<T, String>,
    ) -> Option<Option<T>> {
        let name = self.name(key);
        let Some(value) = self.get(key) else { return Some(None) };
        match convert(value.get_ref()) {
            Ok(read) => Some(Some(read)),
            Err(problem) => {
                found.add(&value.span(), &name, problem);
                None
            }
        }
    }

    /// A field that must be there; where it is missing or wrong, that is told and `instead` goes on.
    pub fn need<T>(
        &mut self, key: &'static str, instead: T, example: &str, found: &mut Findings<'_>,
        convert: impl Fn(&DeValue<'_>) -> Result<T, String>,
    ) -> T {
        match self.read(key, found, convert) {
            Some(Some(value)) => value,
            Some(None) => {
                if !self.wrong {
                    found.add(
                        &self.span,
                        &self.name(key),
                        format!("is missing; for example: {key} = {example}"),
                    );
                }
                instead
            }
            None => instead,
        }
    }

    /// A field that may be missing.
    pub fn or<T>(
        &mut self, key: &'static str, default: T, found: &mut Findings<'_>,
        convert: impl Fn(&DeValue<'_>) -> Result<T, String>,
    ) -> T {
        self.read(key, found, convert).flatten().unwrap_or(default)
    }

    /// Tells every key that nobody has asked for, with the nearest that could be meant.
    pub fn done(self, found: &mut Findings<'_>) {
        for (key, _) in self.table.into_iter().flat_map(|t| t.iter()) {
            let text = key.get_ref().as_ref();
            if self.asked.contains(&text) {
                continue;
            }
            let alike = |known: &&str| strsim::jaro_winkler(text, known);
            let nearest = self.asked.iter().copied().max_by(|a, b| alike(a).total_cmp(&alike(b)));
            let hint = match nearest.filter(|known| alike(known) >= ALIKE) {
                Some(known) => format!("is not known; {known:?} is the nearest that is"),
                None => format!("is not known; here stand: {}", self.asked.join(", ")),
            };
            found.add(&key.span(), &self.name(text), hint);
        }
    }
}

/// A text.
pub(crate) fn text<'v>(value: &'v DeValue<'_>) -> Result<&'v str, String> {
    value.as_str().ok_or_else(|| format!("is {}, where a text in quotes is needed", kind_of(value)))
}

/// A text that another conversion reads on.
pub(crate) fn by<T>(
    convert: impl Fn(&str) -> Result<T, String>,
) -> impl Fn(&DeValue<'_>) -> Result<T, String> {
    move |value| convert(text(value)?)
}

/// A list of texts, each read by a conversion.
pub(crate) fn each<T>(
    convert: impl Fn(&str) -> Result<T, String>,
) -> impl Fn(&DeValue<'_>) -> Result<Vec<T>, String> {
    move |value| match value {
        DeValue::Array(all) => all.iter().map(|one| convert(text(one.get_ref())?)).collect(),
        other => Err(format!("is {}, where a list of texts is needed: [\"..\", \"..\"]", kind_of(other))),
    }
}

/// One that must lie in a range; `shown` tells the range to a person.
pub(crate) fn within<T: PartialOrd>(
    range: impl RangeBounds<T>, shown: &'static str, convert: impl Fn(&DeValue<'_>) -> Result<T, String>,
) -> impl Fn(&DeValue<'_>) -> Result<T, String> {
    move |value| {
        let read = convert(value)?;
        if range.contains(&read) {
            return Ok(read);
        }
        Err(format!("is out of its range: {shown}"))
    }
}

/// A whole number from 0 on.
pub(crate) fn whole(value: &DeValue<'_>) -> Result<u64, String> {
    let number = match value {
        DeValue::Integer(i) => {
            i64::from_str_radix(i.as_str(), i.radix()).ok().and_then(|n| u64::try_from(n).ok())
        }
        _ => None,
    };
    number.ok_or_else(|| format!("is {}, where a whole number from 0 on is needed", shown(value)))
}

/// A number, whole or not.
pub(crate) fn number(value: &DeValue<'_>) -> Result<f64, String> {
    let number = match value {
        DeValue::Float(f) => f.as_str().parse::<f64>().ok().filter(|n| n.is_finite()),
        DeValue::Integer(_) => Some(whole(value)? as f64),
        _ => None,
    };
    number.ok_or_else(|| format!("is {}, where a number is needed", shown(value)))
}

fn shown(value: &DeValue<'_>) -> String {
    match value {
        DeValue::Integer(i) => i.as_str().to_string(),
        DeValue::Float(f) => f.as_str().to_string(),
        other => kind_of(other).to_string(),
    }
}

pub(crate) fn yes_or_no(value: &DeValue<'_>) -> Result<bool, String> {
    value.as_bool().ok_or_else(|| format!("is {}, where true or false is needed", kind_of(value)))
}
