//! The resident memory of a process, as the system counts it.

use std::fs::File;
use std::os::unix::fs::FileExt;

/// The resident memory of a process in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Residents {
    /// Memory of the process alone.
    pub anonymous: usize,
    /// Pages of files, such as the program.
    pub file: usize,
}

impl Residents {
    /// All resident memory.
    pub fn sum(self) -> usize {
        self.anonymous + self.file
    }

    /// Parses /proc/PID/statm (proc(5)), whose figures count pages.
    fn parse(text: &str, page_bytes: usize) -> Option<Self> {
        let mut figures = text.split_ascii_whitespace().skip(1).map(|figure| figure.parse::<usize>().ok());
        let (resident, file) = (figures.next()??, figures.next()??);
        let anonymous = resident.saturating_sub(file);
        Some(Residents { anonymous: anonymous * page_bytes, file: file * page_bytes })
    }
}

/// Reads the resident memory of a process. The file stays open, so that reading needs no descriptor.
pub struct ResidentMemory {
    file: Option<File>,
}

impl ResidentMemory {
    /// That of this process.
    pub fn of_this_process() -> Self {
        ResidentMemory { file: File::open("/proc/self/statm").ok() }
    }

    /// That of another process.
    pub fn of(process_id: u32) -> Self {
        ResidentMemory { file: File::open(format!("/proc/{process_id}/statm")).ok() }
    }

    /// The resident memory now; `None` if the system does not tell it or the process has ended.
    pub fn read(&self) -> Option<Residents> {
        let mut bytes = [0; 128];
        let count = self.file.as_ref()?.read_at(&mut bytes, 0).ok()?;
        Residents::parse(std::str::from_utf8(&bytes[..count]).ok()?, rustix::param::page_size())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_figures_of_statm_are_pages() {
        let residents = Residents::parse("2500 1600 1300 900 0 400 0\n", 4096);
        assert_eq!(residents, Some(Residents { anonymous: 300 * 4096, file: 1300 * 4096 }));
        assert_eq!(Residents::parse("2500 x", 4096), None);
        assert_eq!(Residents::parse("", 4096), None);
    }

    #[test]
    fn this_process_has_resident_memory() {
        let residents = ResidentMemory::of_this_process().read().expect("the system tells it");
        assert!(residents.anonymous > 0 && residents.file > 0, "{residents:?}");
        let same = ResidentMemory::of(std::process::id()).read().expect("the system tells it");
        assert!(same.sum() > 0);
    }
}
