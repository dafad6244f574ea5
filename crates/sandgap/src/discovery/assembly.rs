//! Assembles lists from lines. A list is usually one line, but may be indented JSON over many lines. A truncated line
//! looks like the beginning of such a list until no further line arrives or a line arrives that does not continue it.

use super::lines::too_long;
use super::list::{List, ListReader};

/// Result of one line.
pub(super) enum LineResult {
    /// A heartbeat.
    Blank,
    /// A complete list.
    Complete(List),
    /// The beginning or middle of a list: the rest has to follow soon.
    Partial,
    /// Some input was lost, for the given reason; the list that the line itself holds, if any.
    Truncated(String, Option<List>),
}

/// Assembles lists; see the module documentation.
#[derive(Default)]
pub(super) struct ListAssembler {
    part: Vec<u8>,
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl ListAssembler {
    /// Whether a list has begun but is not complete.
    pub(super) fn is_partial(&self) -> bool {
        !self.part.is_empty()
    }

    /// Discards an incomplete list and describes it.
    pub(super) fn discard(&mut self) -> String {
        let bytes = self.part.len();
        *self = ListAssembler::default();
        format!("a list that ends after {bytes} bytes")
    }

    /// Adds a line, without its line end.
    pub(super) fn push(&mut self, line: &[u8], lists: &ListReader) -> LineResult {
        if line.trim_ascii().is_empty() {
            return if self.is_partial() {
                LineResult::Truncated(self.discard(), None)
            } else {
                LineResult::Blank
            };
        }
        if self.is_partial()
            && let Ok(list) = lists.parse(line)
        {
            // The line is a complete list, so the list before it was truncated.
            return LineResult::Truncated(self.discard(), Some(list));
        }
        if self.part.len() + line.len() > lists.max_bytes() {
            self.discard();
            return LineResult::Truncated(too_long(lists.max_bytes()), None);
        }
        self.scan(line);
        let is_whole_line = self.part.is_empty() && self.depth == 0;
        if !is_whole_line {
            self.part.extend_from_slice(line);
            self.part.push(b'\n');
        }
        if self.depth > 0 {
            return LineResult::Partial;
        }
        // A list of one line is parsed where it is, without a copy.
        let whole = lists.parse(if is_whole_line { line } else { &self.part });
        *self = ListAssembler::default();
        match whole {
            Ok(list) => LineResult::Complete(list),
            Err(e) => LineResult::Truncated(e.to_string(), None),
        }
    }

    /// Counts open brackets outside strings.
    fn scan(&mut self, line: &[u8]) {
        for byte in line {
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.in_string => self.escaped = true,
                b'"' => self.in_string = !self.in_string,
                _ if self.in_string => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::diagnostics::Diagnostics;
    use crate::memory::MemoryGauge;

    const LIST: &str = r#"{"seq":7,"whole":true,"hosts":[{"host":"a}\"{","health":"up"},{"host":"b"}]}"#;

    fn reader() -> std::rc::Rc<ListReader> {
        ListReader::new(MemoryGauge::new(16 << 20, false), Diagnostics::new(None))
    }

    fn indented() -> String {
        let value: serde_json::Value = serde_json::from_str(LIST).expect("JSON");
        serde_json::to_string_pretty(&value).expect("JSON")
    }

    /// Versions of the lists in a text, the number of truncated lists, and whether a list is incomplete at the end.
    fn push_lines(text: &str) -> (Vec<u64>, usize, bool) {
        let lists = reader();
        let (mut assembly, mut versions, mut truncated) = (ListAssembler::default(), Vec::new(), 0);
        for line in text.lines() {
            match assembly.push(line.as_bytes(), &lists) {
                LineResult::Complete(list) => versions.push(list.seq),
                LineResult::Truncated(_, list) => {
                    truncated += 1;
                    versions.extend(list.map(|l| l.seq));
                }
                LineResult::Blank | LineResult::Partial => {}
            }
        }
        (versions, truncated, assembly.is_partial())
    }

    #[test]
    fn a_list_over_many_lines_is_one_list() {
        assert_eq!(push_lines(LIST), (vec![7], 0, false));
        assert_eq!(push_lines(&indented()), (vec![7], 0, false));
        let indented_further: String = indented().lines().map(|l| format!("  {l}\n")).collect();
        assert_eq!(push_lines(&format!("\n{indented_further}\n{LIST}\n")), (vec![7, 7], 0, false));
    }

    #[test]
    fn a_truncated_line_is_detected_by_any_line_that_follows() {
        let half = &LIST[..40];
        assert_eq!(push_lines(half), (vec![], 0, true));
        assert_eq!(push_lines(&format!("{half}\n\n")), (vec![], 1, false));
        assert_eq!(push_lines(&format!("{half}\n{LIST}")), (vec![7], 1, false));
        assert_eq!(push_lines(&format!("xyz\n{LIST}")), (vec![7], 1, false));
        let cut: Vec<String> = indented().lines().take(4).map(str::to_owned).collect();
        assert_eq!(push_lines(&format!("{}\n{LIST}", cut.join("\n"))), (vec![7], 1, false));
    }

    #[test]
    fn an_unterminated_list_is_bounded() {
        let (lists, mut assembly) = (reader(), ListAssembler::default());
        let line = vec![b'['; 64 << 10];
        let parts =
            (0..200).take_while(|_| matches!(assembly.push(&line, &lists), LineResult::Partial)).count();
        assert!(parts <= lists.max_bytes() / line.len() && assembly.part.is_empty());
    }
}
