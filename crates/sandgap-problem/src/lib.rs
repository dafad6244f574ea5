//! Errors in settings files: the line, how to correct it, and a suggestion for a misspelled name. Used for the daemon's
//! settings and the simulator's experiment files.

use std::fmt;

/// Similarity of two names (Jaro-Winkler, 0 to 1) above which one is suggested for the other.
const MIN_SIMILARITY: f64 = 0.6;

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line of the file, from 1; 0 if the error has no line, such as a missing section.
    pub line: usize,
    /// What is wrong and how to correct it.
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

/// The line number, from 1, of the byte offset `at` in a text.
pub fn line_number(text: &str, at: usize) -> usize {
    1 + text.as_bytes().iter().take(at).filter(|b| **b == b'\n').count()
}

/// `; did you mean 'X'?` with the most similar name; empty if none is similar enough.
pub fn suggestion<'a>(name: &str, names: impl Iterator<Item = &'a str>) -> String {
    let similarities = names.map(|n| (strsim::jaro_winkler(name, n), n));
    match similarities.max_by(|a, b| a.0.total_cmp(&b.0)) {
        Some((similarity, nearest)) if similarity > MIN_SIMILARITY => format!("; did you mean '{nearest}'?"),
        _ => String::new(),
    }
}
