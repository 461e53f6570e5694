//! Texts with places for what a message is called: `/v2/charges/{id}`.

use percent_encoding::{utf8_percent_encode, AsciiSet, NON_ALPHANUMERIC};

/// All but the unreserved characters of a URI (RFC 3986, section 2.3): nothing of a value can be read as a separator.
const OUTSIDE: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');
/// Longest text that a template may be, and that it may become, in bytes.
const LONGEST: usize = 2048;

/// What a message is called.
#[derive(Clone, Copy, Debug, Default)]
pub struct Values<'a> {
    /// Its id.
    pub id: &'a str,
    /// Its class.
    pub class: &'a str,
    /// Its key, empty for none.
    pub key: &'a str,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Name {
    Id,
    Class,
    Key,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Part {
    Text(String),
    Value(Name),
}

/// A text with places.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Template(Vec<Part>);

impl Template {
    /// A text without places.
    pub fn fixed(text: &str) -> Template {
        Template(vec![Part::Text(text.to_string())])
    }

    /// Reads a template: `{id}`, `{class}` and `{key}` are places.
    ///
    /// # Errors
    /// A place that is not known or not closed, a control character, or too long a text.
    pub fn parse(text: &str) -> Result<Template, String> {
        if text.len() > LONGEST || text.chars().any(char::is_control) {
            return Err(format!("a template has {LONGEST} bytes at most, and no control characters"));
        }
        let (mut parts, mut rest) = (Vec::new(), text);
        while let Some(open) = rest.find(['{', '}']) {
            let (before, from) = rest.split_at(open);
            let inside = from.strip_prefix('{').and_then(|inside| inside.split_once('}'));
            let Some((name, behind)) = inside else {
                return Err(format!("{text:?} has a brace without its other"));
            };
            let name = match name {
                "id" => Name::Id,
                "class" => Name::Class,
                "key" => Name::Key,
                _ => return Err(format!("{{{name}}} is no place; there are {{id}}, {{class}} and {{key}}")),
            };
            parts.extend((!before.is_empty()).then(|| Part::Text(before.to_string())));
            parts.push(Part::Value(name));
            rest = behind;
        }
        parts.extend((!rest.is_empty()).then(|| Part::Text(rest.to_string())));
        Ok(Template(parts))
    }

    /// Reads a path: it begins with `/`, and is what it says byte for byte.
    ///
    /// # Errors
    /// As [`Template::parse`], and characters that a path or query can't have.
    pub fn path(text: &str) -> Result<Template, String> {
        let template = Template::parse(text)?;
        let sound =
            |c: char| c.is_ascii_graphic() && !matches!(c, '"' | '<' | '>' | '\\' | '^' | '`' | '|' | '#');
        let texts =
            template.0.iter().filter_map(|p| if let Part::Text(text) = p { Some(text) } else { None });
        if !text.starts_with('/') || !texts.into_iter().all(|t| t.chars().all(sound)) {
            return Err(format!(
                "{text:?} is no path: one begins with / and has its odd characters percent-encoded"
            ));
        }
        Ok(template)
    }

    /// Whether it names the key.
    pub fn needs_key(&self) -> bool {
        self.0.contains(&Part::Value(Name::Key))
    }

    fn fill(&self, values: Values<'_>, write: impl Fn(&str) -> String) -> Option<String> {
        let value = |name: &Name| match name {
            Name::Id => values.id,
            Name::Class => values.class,
            Name::Key => values.key,
        };
        let mut text = String::new();
        for part in &self.0 {
            match part {
                Part::Text(fixed) => text.push_str(fixed),
                Part::Value(name) if value(name).is_empty() => return None,
                Part::Value(name) => text.push_str(&write(value(name))),
            }
        }
        (text.len() <= 4 * LONGEST).then_some(text)
    }

    /// The path of a call. Every value is percent-encoded, so that it stays within its place; none if a value is missing, or
    /// a part of the path would be `.` or `..`, which servers take for a step, also where they are encoded.
    pub fn fill_path(&self, values: Values<'_>) -> Option<String> {
        let text = self.fill(values, |value| utf8_percent_encode(value, OUTSIDE).to_string())?;
        let path = text.split('?').next().unwrap_or("");
        (!path.split('/').any(|part| part == "." || part == "..")).then_some(text)
    }

    /// The value of a header; none if a value is missing or can't stand in a header (RFC 9110, section 5.5).
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
    fn places_are_filled_and_stay_places() {
        let path = Template::path("/v2/{class}/{key}?ref={id}").unwrap();
        let values = Values { id: "a b", class: "fee", key: "škola/1" };
        assert_eq!(path.fill_path(values).unwrap(), "/v2/fee/%C5%A1kola%2F1?ref=a%20b");
        assert!(path.needs_key());
        assert_eq!(path.fill_path(Values { key: "", ..values }), None);
        assert_eq!(path.fill_path(Values { key: "..", ..values }), None, "no step upwards");
        let header = Template::parse("m-{id}").unwrap();
        assert_eq!(header.fill_header(values).unwrap(), "m-a b");
        assert_eq!(header.fill_header(Values { id: "x\r\ny: z", ..values }), None);
        for wrong in ["/a{b}", "/a{id", "/a}", "a", "/a b", "/š", "/a\r\n", "/a#b"] {
            assert!(Template::path(wrong).is_err(), "{wrong}");
        }
    }

    proptest! {
        /// Whatever ids and keys hold, a path has the separators of its template and no others.
        #[test]
        fn no_byte_leaves_its_place(id in ".{1,40}", key in "[\\PC\\r\\n\\x00/%.?#]{1,40}") {
            let template = Template::path("/v1/{key}/x?ref={id}").unwrap();
            if let Some(path) = template.fill_path(Values { id: &id, class: "c", key: &key }) {
                prop_assert!(path.bytes().all(|b| b.is_ascii_graphic()));
                prop_assert_eq!(path.matches('/').count(), 3);
                prop_assert_eq!(path.matches('?').count(), 1);
                prop_assert!(!path.contains('#') && path.parse::<http::uri::PathAndQuery>().is_ok());
            }
        }

        #[test]
        fn any_text_is_read_or_refused(text in ".{0,200}") {
            let _ = Template::path(&text).map(|t| t.fill_path(Values { id: "a", class: "b", key: "c" }));
        }
    }
}
