//! Resource usage of a process by proc(5): processor time, peak memory, bytes written to disk.

/// Clock ticks per second in /proc on Linux (USER_HZ).
const TICKS_PER_SECOND: u64 = 100;

/// Resource usage of a process since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time of all its threads, user and system, µs.
    pub cpu_us: u64,
    /// Peak of its resident memory, KiB.
    pub peak_kib: u64,
    /// Bytes that it caused to be written to disk.
    pub written: u64,
}

/// Resource usage of a running process; zeros if it has ended.
pub fn usage(id: u32) -> Usage {
    let read = |file: &str| std::fs::read_to_string(format!("/proc/{id}/{file}")).unwrap_or_default();
    Usage {
        cpu_us: cpu_us(&read("stat")),
        peak_kib: field(&read("status"), "VmHWM:"),
        written: field(&read("io"), "write_bytes:"),
    }
}

/// Resource usage of this process.
pub fn own() -> Usage {
    usage(std::process::id())
}

/// Processor time in µs from the text of `stat`: the fields after the name, which may contain spaces.
fn cpu_us(stat: &str) -> u64 {
    const USER: usize = 11; // index after the name and its parenthesis; the process state is field 0
    let Some((_, fields)) = stat.rsplit_once(") ") else { return 0 };
    let ticks = fields.split(' ').skip(USER).take(2).filter_map(|t| t.parse::<u64>().ok());
    ticks.sum::<u64>() * 1_000_000 / TICKS_PER_SECOND
}

/// The number after a key at the beginning of a line; 0 if there is none.
fn field(text: &str, key: &str) -> u64 {
    let line = text.lines().find_map(|line| line.strip_prefix(key));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn usage_is_parsed_from_the_texts_of_proc() {
        let stat = "17 (a (strange) name) S 1 17 17 0 -1 4194560 9 0 0 0 250 150 0 0 20 0 1 0 9 9 9";
        assert_eq!(cpu_us(stat), 4_000_000);
        assert_eq!(field("Name:\tx\nVmHWM:\t  1234 kB\n", "VmHWM:"), 1234);
        assert_eq!((cpu_us(""), field("", "VmHWM:")), (0, 0));
        assert!(own().peak_kib > 0);
    }
}
