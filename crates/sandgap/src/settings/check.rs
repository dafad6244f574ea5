//! Checks a settings file against the schema and reports all problems at once.

use std::net::SocketAddr;

use sandgap_problem::{Problem, line_number, suggestion};
use toml::de::{DeTable, DeValue};
use toml::{Spanned, Table as Values, Value};

use super::schema::{Default, Key, Kind, TABLES, Table};

/// The text of a settings file and the problems found in it.
pub struct Reader<'a> {
    text: &'a str,
    /// The problems found so far.
    pub problems: Vec<Problem>,
}

impl<'a> Reader<'a> {
    /// Parses a text; returns the values with all defaults filled in, and the problems.
    pub fn read(text: &'a str) -> (Values, Self) {
        let mut reader = Reader { text, problems: Vec::new() };
        let (spanned, errors) = DeTable::parse_recoverable(text);
        for e in &errors {
            let line = e.span().map_or(0, |s| line_number(text, s.start));
            reader.problems.push(Problem { line, text: e.message().to_owned() });
        }
        let mut values = Values::new();
        if errors.is_empty() {
            reader.check_tables(spanned.get_ref(), &mut values);
        }
        (values, reader)
    }

    /// Adds a problem at a byte offset of the text.
    pub fn add_at(&mut self, at: usize, text: String) {
        let line = line_number(self.text, at);
        self.problems.push(Problem { line, text });
    }

    /// Adds a problem that belongs to no line, such as a missing table.
    pub fn add_without_line(&mut self, text: String) {
        self.problems.push(Problem { line: 0, text });
    }

    fn check_tables(&mut self, file: &DeTable, values: &mut Values) {
        for (name, value) in file.iter() {
            if !TABLES.iter().any(|t| t.name == name.get_ref()) {
                let names = TABLES.iter().map(|t| t.name);
                let suggestion = suggestion(name.get_ref(), names);
                self.add_at(name.span().start, format!("unknown table '{}'{suggestion}", name.get_ref()));
                continue;
            }
            let table = TABLES.iter().find(|t| t.name == name.get_ref()).expect("just found");
            self.check_entries(table, value, values);
        }
        for table in TABLES.iter().filter(|t| !file.keys().any(|k| k.get_ref() == t.name)) {
            let empty =
                if table.max_entries == 0 { self.check_table(table, None) } else { Value::Array(Vec::new()) };
            values.insert(table.name.into(), empty);
        }
    }

    fn check_entries(&mut self, table: &Table, value: &Spanned<DeValue>, values: &mut Values) {
        let at = value.span().start;
        let filled = match (value.get_ref(), table.max_entries) {
            (DeValue::Table(one), 0) => self.check_table(table, Some((one, at))),
            (DeValue::Array(many), max_entries) if max_entries > 0 => {
                if many.len() > max_entries {
                    self.add_at(
                        at,
                        format!("{} [[{}]] are too many; the limit is {max_entries}", many.len(), table.name),
                    );
                }
                let mut all = Vec::new();
                for entry in many.iter().take(max_entries) {
                    match entry.get_ref() {
                        DeValue::Table(one) => {
                            all.push(self.check_table(table, Some((one, entry.span().start))))
                        }
                        _ => self.add_at(entry.span().start, format!("[[{}]] holds tables only", table.name)),
                    }
                }
                Value::Array(all)
            }
            (_, 0) => return self.add_at(at, format!("'{0}' is a table: write [{0}]", table.name)),
            _ => return self.add_at(at, format!("'{0}' is a list of tables: write [[{0}]]", table.name)),
        };
        values.insert(table.name.into(), filled);
    }

    /// The values of one table with its defaults.
    fn check_table(&mut self, table: &Table, given: Option<(&DeTable, usize)>) -> Value {
        let mut filled = Values::new();
        if let Some((given, _)) = given {
            for (name, value) in given.iter() {
                match table.keys.iter().find(|k| k.name == name.get_ref()) {
                    Some(key) => {
                        if let Some(value) = self.check_value(key, value) {
                            filled.insert(key.name.into(), value);
                        }
                    }
                    None => {
                        let suggestion = suggestion(name.get_ref(), table.keys.iter().map(|k| k.name));
                        let text = format!("[{}] has no key '{}'{suggestion}", table.name, name.get_ref());
                        self.add_at(name.span().start, text);
                    }
                }
            }
        }
        for key in table.keys {
            if given.is_some_and(|(g, _)| g.keys().any(|k| k.get_ref() == key.name)) {
                continue;
            }
            match key.default {
                Default::None => {}
                Default::Text(text) => drop(filled.insert(key.name.into(), Value::String(text.into()))),
                Default::Number(x) => drop(filled.insert(key.name.into(), Value::Float(x))),
                Default::Flag(b) => drop(filled.insert(key.name.into(), Value::Boolean(b))),
                Default::Whole(n) => drop(filled.insert(key.name.into(), Value::Integer(n))),
                Default::Required => {
                    let text = format!("[{}] needs '{}': {}", table.name, key.name, key.about);
                    match given {
                        Some((_, at)) => self.add_at(at, text),
                        None => self.add_without_line(text),
                    }
                }
            }
        }
        Value::Table(filled)
    }

    fn check_value(&mut self, key: &Key, value: &Spanned<DeValue>) -> Option<Value> {
        let number = match value.get_ref() {
            DeValue::Integer(i) => {
                i64::from_str_radix(i.as_str(), i.radix()).ok().map(|n| (n as f64, Some(n)))
            }
            DeValue::Float(f) => f.as_str().parse::<f64>().ok().map(|x| (x, None)),
            _ => None,
        };
        if let (Kind::Flag, DeValue::Boolean(flag)) = (key.kind, value.get_ref()) {
            return Some(Value::Boolean(*flag));
        }
        let text = if let DeValue::String(s) = value.get_ref() { Some(s.as_ref()) } else { None };
        let good = match (key.kind, text, number) {
            (Kind::Text, Some(t), _) if !t.trim().is_empty() => Some(Value::String(t.into())),
            (Kind::Address, Some(t), _) if t.parse::<SocketAddr>().is_ok() => Some(Value::String(t.into())),
            (Kind::Word(words), Some(t), _) if words.contains(&t) => Some(Value::String(t.into())),
            (Kind::Number(min, max), _, Some((x, _))) if x >= min && x <= max => Some(Value::Float(x)),
            (Kind::Whole(min, max), _, Some((_, Some(n)))) if n >= min && n <= max => Some(Value::Integer(n)),
            _ => None,
        };
        if good.is_none() {
            let wanted = match key.kind {
                Kind::Flag => "true or false".to_owned(),
                Kind::Text => "a text that is not empty".to_owned(),
                Kind::Address => "an IP address and a port, such as \"127.0.0.1:9000\"".to_owned(),
                Kind::Word(words) => format!("one of \"{}\"", words.join("\", \"")),
                Kind::Number(min, max) => format!("a number from {min} to {max}"),
                Kind::Whole(min, max) => format!("a whole number from {min} to {max}"),
            };
            self.add_at(value.span().start, format!("'{}' must be {wanted} ({})", key.name, key.about));
        }
        good
    }
}
