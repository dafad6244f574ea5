//! System calls of a proxy that fail or fall short: a small library of C calls that is loaded into the process alone
//! (`shim/system_faults.c`, built with the C compiler that the linker needs anyway).

use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

const SOURCE: &str = include_str!("../shim/system_faults.c");

/// Which calls fail or fall short, in parts of a thousand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SystemFaults {
    /// Reads that give a few bytes while more is there.
    pub short_read: u32,
    /// Writes that take a few bytes while there is room.
    pub short_write: u32,
    /// Reads, writes and waits that are interrupted.
    pub interrupted: u32,
    /// Sockets that can't be had for want of descriptors, buffers or memory.
    pub socket: u32,
    /// Connections for which there is no port or no route.
    pub connect: u32,
    /// Connections that can't be accepted.
    pub accept: u32,
    /// Waits after which the process is held up for up to 150 ms.
    pub held_up: u32,
    /// The largest step of the wall clock, ms, which changes every two seconds; 0 for none.
    pub clock_step_ms: u64,
    /// What the wall clock is ahead by for good, ms; negative where it is behind.
    pub clock_ahead_ms: i64,
}

/// The library, built.
#[derive(Clone, Debug)]
pub struct FaultLibrary {
    path: PathBuf,
    faults: SystemFaults,
}

impl FaultLibrary {
    /// Builds the library in a folder.
    ///
    /// # Errors
    /// The system's, or what the compiler says.
    pub fn build(folder: &Path, faults: SystemFaults) -> io::Result<Self> {
        let (source, path) = (folder.join("system_faults.c"), folder.join("libsystem_faults.so"));
        std::fs::write(&source, SOURCE)?;
        let output = Command::new("cc")
            .args(["-shared", "-fPIC", "-O2", "-Wall", "-Werror", "-o"])
            .args([&path, &source])
            .args(["-ldl", "-lpthread"])
            .output()?;
        if !output.status.success() {
            return Err(io::Error::other(String::from_utf8_lossy(&output.stderr).into_owned()));
        }
        Ok(FaultLibrary { path, faults })
    }

    /// Has a command's process load it; the seed decides which calls are hit.
    pub fn load_into(&self, command: &mut Command, seed: u64) {
        let f = &self.faults;
        let text = format!(
            "seed={},short_read={},short_write={},eintr={},socket={},connect={},accept={},held_up={},step_ms={},ahead_ms={}",
            seed % (1 << 31),
            f.short_read,
            f.short_write,
            f.interrupted,
            f.socket,
            f.connect,
            f.accept,
            f.held_up,
            f.clock_step_ms,
            f.clock_ahead_ms
        );
        command.env("LD_PRELOAD", &self.path).env("SANDGAP_FAULTS", text);
    }
}

/// A folder whose files can't be written or synced for a while, by whichever processes have loaded the library. The path may
/// also be the beginning of the paths of some files.
#[derive(Debug)]
pub struct FailingFolder {
    library: FaultLibrary,
    folder: PathBuf,
    /// The folder fails for as long as this file is there.
    switch: PathBuf,
}

impl FailingFolder {
    /// A folder that does not fail yet. The library and the file that switches it lie in `beside`, another folder.
    ///
    /// # Errors
    /// The system's, or what the compiler says.
    pub fn new(folder: &Path, beside: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(beside)?;
        let library = FaultLibrary::build(beside, SystemFaults::default())?;
        Ok(FailingFolder { library, folder: folder.to_owned(), switch: beside.join("failing") })
    }

    /// Has a command's process load the library.
    pub fn load_into(&self, command: &mut Command) {
        self.library.load_into(command, 1);
        command.env("SANDGAP_FAILING_FOLDER", &self.folder).env("SANDGAP_FAILING_WHILE", &self.switch);
    }

    /// From now on the folder fails.
    ///
    /// # Errors
    /// The system's.
    pub fn begin(&self) -> io::Result<()> {
        std::fs::write(&self.switch, b"")
    }

    /// It can be written again.
    ///
    /// # Errors
    /// The system's.
    pub fn end(&self) -> io::Result<()> {
        std::fs::remove_file(&self.switch)
    }
}
