//! Puts lists together from lines. A list is one line as a rule, but may come indented, over many; a line that is torn
//! looks like the beginning of such a one, until nothing follows or something else does.

use super::List;
use super::lines::MOST;

/// What a line brought.
pub(super) enum Item {
    /// A sign of life.
    Blank,
    /// A list.
    Whole(List),
    /// The beginning or the middle of one: the rest has to follow soon.
    Part,
    /// Something was lost, and this list came after it, if it is one.
    Torn(String, Option<List>),
}

/// See the module.
#[derive(Default)]
pub(super) struct Assembly {
    part: Vec<u8>,
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl Assembly {
    /// Whether a list has begun whose rest has not come.
    pub(super) fn waits(&self) -> bool {
        !self.part.is_empty()
    }

    /// Gives up a list whose rest does not come.
    pub(super) fn give_up(&mut self) -> String {
        let bytes = self.part.len();
        *self = Assembly::default();
        format!("a list that ends after {bytes} bytes")
    }

    /// Takes a line, without its end.
    pub(super) fn push(&mut self, line: &[u8]) -> Item {
        if line.trim_ascii().is_empty() {
            return if self.waits() { Item::Torn(self.give_up(), None) } else { Item::Blank };
        }
        if self.waits()
            && let Ok(list) = serde_json::from_slice::<List>(line)
        {
            return Item::Torn(self.give_up(), Some(list)); // whole in itself: what was before it never ended
        }
        if self.part.len() + line.len() > MOST {
            return Item::Torn(self.give_up(), None);
        }
        self.scan(line);
        self.part.extend_from_slice(line);
        self.part.push(b'\n');
        if self.depth > 0 {
            return Item::Part;
        }
        let whole = serde_json::from_slice::<List>(&self.part);
        *self = Assembly::default();
        match whole {
            Ok(list) => Item::Whole(list),
            Err(e) => Item::Torn(e.to_string(), None),
        }
    }

    /// Counts what is open, past whatever stands in strings.
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

    const LIST: &str = r#"{"seq":7,"whole":true,"hosts":[{"host":"a}\"{","health":"up"},{"host":"b"}]}"#;

    fn indented() -> String {
        let value: serde_json::Value = serde_json::from_str(LIST).expect("JSON");
        serde_json::to_string_pretty(&value).expect("JSON")
    }

    /// What lines bring: the versions of lists, and what was torn.
    fn all(text: &str) -> (Vec<u64>, usize, bool) {
        let (mut assembly, mut lists, mut torn) = (Assembly::default(), Vec::new(), 0);
        for line in text.lines() {
            match assembly.push(line.as_bytes()) {
                Item::Whole(list) => lists.push(list.seq),
                Item::Torn(_, list) => {
                    torn += 1;
                    lists.extend(list.map(|l| l.seq));
                }
                Item::Blank | Item::Part => {}
            }
        }
        (lists, torn, assembly.waits())
    }

    #[test]
    fn a_list_over_many_lines_is_one_list() {
        assert_eq!(all(LIST), (vec![7], 0, false));
        assert_eq!(all(&indented()), (vec![7], 0, false));
        let deeper: String = indented().lines().map(|l| format!("  {l}\n")).collect();
        assert_eq!(all(&format!("\n{deeper}\n{LIST}\n")), (vec![7, 7], 0, false));
    }

    #[test]
    fn a_torn_line_is_found_by_whatever_follows() {
        let half = &LIST[..40];
        assert_eq!(all(half), (vec![], 0, true));
        assert_eq!(all(&format!("{half}\n\n")), (vec![], 1, false));
        assert_eq!(all(&format!("{half}\n{LIST}")), (vec![7], 1, false));
        assert_eq!(all(&format!("xyz\n{LIST}")), (vec![7], 1, false));
        let cut: Vec<String> = indented().lines().take(4).map(str::to_owned).collect();
        assert_eq!(all(&format!("{}\n{LIST}", cut.join("\n"))), (vec![7], 1, false));
    }

    #[test]
    fn what_never_ends_is_bounded() {
        let mut assembly = Assembly::default();
        let line = vec![b'['; 64 << 10];
        let parts = (0..200).take_while(|_| matches!(assembly.push(&line), Item::Part)).count();
        assert!(parts <= MOST / line.len() && assembly.part.is_empty());
    }
}
