//! What is wrong with a file of settings: where, how to mend it, and which name was likely meant. The daemon's
//! settings and the laboratory's experiments both tell it in this form.

use std::fmt;

/// Likeness of two names, from 0 to 1, above which one is taken for a slip of the other.
const LIKE: f64 = 0.6;

/// One thing that is wrong: where, and how to mend it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line of the file, from 1; 0 where something is missing as a whole.
    pub line: usize,
    /// What is wrong and what would be right.
    pub text: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}", self.text),
            line => write!(f, "line {line}: {}", self.text),
        }
    }
}

/// The line of a byte of a text, from 1.
pub fn line(text: &str, at: usize) -> usize {
    1 + text.as_bytes().iter().take(at).filter(|b| **b == b'\n').count()
}

/// `; did you mean 'X'?` for the name that is most like one, nothing where none is.
pub fn nearest<'a>(name: &str, names: impl Iterator<Item = &'a str>) -> String {
    let like = names.map(|n| (strsim::jaro_winkler(name, n), n));
    match like.max_by(|a, b| a.0.total_cmp(&b.0)) {
        Some((likeness, nearest)) if likeness > LIKE => format!("; did you mean '{nearest}'?"),
        _ => String::new(),
    }
}
