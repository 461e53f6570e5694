//! Templates for paths and header values, such as `/v2/charges/{id}`.

use percent_encoding::{utf8_percent_encode, AsciiSet, NON_ALPHANUMERIC};

/// Every character except the unreserved ones of a URI (RFC 3986, section 2.3) is encoded, so that
/// no part of a value can act as a separator.
const ENCODE_SET: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');
/// Maximum length of a template in bytes; a filled one may be four times as long.
const MAX_TEMPLATE_BYTES: usize = 2048;

/// The values of a message for templates.
#[derive(Clone, Copy, Debug, Default)]
pub struct Values<'a> {
    /// Message id.
    pub id: &'a str,
    /// Name of the class.
    pub class: &'a str,
    /// Order key, empty for none.
    pub key: &'a str,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variable {
    Id,
    Class,
    Key,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Piece {
    Literal(String),
    Variable(Variable),
}

/// A text with placeholders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Template(Vec<Piece>);

impl Template {
    /// A template without placeholders.
    pub fn fixed(text: &str) -> Template {
        Template(vec![Piece::Literal(text.to_string())])
    }

    /// Parses a template with the placeholders `{id}`, `{class}` and `{key}`.
    ///
    /// # Errors
    /// A placeholder is unknown or not closed, or the text has control characters or is too long.
    pub fn parse(text: &str) -> Result<Template, String> {
        if text.len() > MAX_TEMPLATE_BYTES || text.chars().any(char::is_control) {
            return Err(format!(
                "a template has {MAX_TEMPLATE_BYTES} bytes at most, and no control characters"
            ));
        }
        let (mut pieces, mut rest) = (Vec::new(), text);
        while let Some(open) = rest.find(['{', '}']) {
            let (before, from) = rest.split_at(open);
            let inside = from.strip_prefix('{').and_then(|inside| inside.split_once('}'));
            let Some((name, after)) = inside else {
                return Err(format!("{text:?} has an unmatched brace"));
            };
            let name = match name {
                "id" => Variable::Id,
                "class" => Variable::Class,
                "key" => Variable::Key,
                _ => return Err(format!("{{{name}}} is no place; there are {{id}}, {{class}} and {{key}}")),
            };
            pieces.extend((!before.is_empty()).then(|| Piece::Literal(before.to_string())));
            pieces.push(Piece::Variable(name));
            rest = after;
        }
        pieces.extend((!rest.is_empty()).then(|| Piece::Literal(rest.to_string())));
        Ok(Template(pieces))
    }

    /// Parses a path template: it begins with `/`, and its literal parts are sent unchanged.
    ///
    /// # Errors
    /// As [`Template::parse`], and characters that a path or query can't contain.
    pub fn path(text: &str) -> Result<Template, String> {
        let template = Template::parse(text)?;
        let valid =
            |c: char| c.is_ascii_graphic() && !matches!(c, '"' | '<' | '>' | '\\' | '^' | '`' | '|' | '#');
        let texts =
            template.0.iter().filter_map(|p| if let Piece::Literal(text) = p { Some(text) } else { None });
        if !text.starts_with('/') || !texts.into_iter().all(|t| t.chars().all(valid)) {
            return Err(format!(
                "{text:?} is not a path: a path begins with / and has its special characters percent-encoded"
            ));
        }
        Ok(template)
    }

    /// Whether the template uses the order key.
    pub fn needs_key(&self) -> bool {
        self.0.contains(&Piece::Variable(Variable::Key))
    }

    /// Replaces the placeholders, passing each value through `write`; none if a value is missing or
    /// the result is too long.
    fn fill(&self, values: Values<'_>, write: impl Fn(&str) -> String) -> Option<String> {
        let value = |name: &Variable| match name {
            Variable::Id => values.id,
            Variable::Class => values.class,
            Variable::Key => values.key,
        };
        let mut text = String::new();
        for part in &self.0 {
            match part {
                Piece::Literal(fixed) => text.push_str(fixed),
                Piece::Variable(name) if value(name).is_empty() => return None,
                Piece::Variable(name) => text.push_str(&write(value(name))),
            }
        }
        (text.len() <= 4 * MAX_TEMPLATE_BYTES).then_some(text)
    }

    /// Fills a path. Every value is percent-encoded and so stays within its placeholder. Returns
    /// none if a value is missing, or if a path segment would be `.` or `..`, which servers resolve
    /// even when it is encoded.
    pub fn fill_path(&self, values: Values<'_>) -> Option<String> {
        let text = self.fill(values, |value| utf8_percent_encode(value, ENCODE_SET).to_string())?;
        let path = text.split('?').next().unwrap_or("");
        (!path.split('/').any(|part| part == "." || part == "..")).then_some(text)
    }

    /// Fills a header value. Returns none if a value is missing or contains characters that a
    /// header can't have (RFC 9110, section 5.5).
    pub fn fill_header(&self, values: Values<'_>) -> Option<http::HeaderValue> {
        let text = self.fill(values, str::to_string)?;
        http::HeaderValue::from_str(&text).ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn placeholders_are_filled_and_encoded() {
        let path = Template::path("/v2/{class}/{key}?ref={id}").unwrap();
        let values = Values { id: "a b", class: "fee", key: "škola/1" };
        assert_eq!(path.fill_path(values).unwrap(), "/v2/fee/%C5%A1kola%2F1?ref=a%20b");
        assert!(path.needs_key());
        assert_eq!(path.fill_path(Values { key: "", ..values }), None);
        assert_eq!(path.fill_path(Values { key: "..", ..values }), None, "no dot segment");
        let header = Template::parse("m-{id}").unwrap();
        assert_eq!(header.fill_header(values).unwrap(), "m-a b");
        assert_eq!(header.fill_header(Values { id: "x\r\ny: z", ..values }), None);
        for wrong in ["/a{b}", "/a{id", "/a}", "a", "/a b", "/š", "/a\r\n", "/a#b"] {
            assert!(Template::path(wrong).is_err(), "{wrong}");
        }
    }

    proptest! {
        /// Whatever ids and keys contain, a path has exactly the separators of its template.
        #[test]
        fn values_stay_within_their_placeholders(id in ".{1,40}", key in "[\\PC\\r\\n\\x00/%.?#]{1,40}") {
            let template = Template::path("/v1/{key}/x?ref={id}").unwrap();
            if let Some(path) = template.fill_path(Values { id: &id, class: "c", key: &key }) {
                prop_assert!(path.bytes().all(|b| b.is_ascii_graphic()));
                prop_assert_eq!(path.matches('/').count(), 3);
                prop_assert_eq!(path.matches('?').count(), 1);
                prop_assert!(!path.contains('#') && path.parse::<http::uri::PathAndQuery>().is_ok());
            }
        }

        #[test]
        fn any_text_is_parsed_or_rejected(text in ".{0,200}") {
            let _ = Template::path(&text).map(|t| t.fill_path(Values { id: "a", class: "b", key: "c" }));
        }
    }
}
