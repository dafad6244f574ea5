//! Makes system calls of a proxy fail or fall short, by a small C library that is preloaded into that process only
//! (`shim/system_faults.c`, built with the C compiler that linking needs anyway).

use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

const SOURCE: &str = include_str!("../shim/system_faults.c");

/// Which calls fail or fall short, in parts of a thousand of the calls, and the errors of the wall clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SystemFaults {
    /// Reads that return a few bytes although more are available.
    pub short_read: u32,
    /// Writes that take a few bytes although there is room for more.
    pub short_write: u32,
    /// Reads, writes and waits that are interrupted.
    pub interrupted: u32,
    /// Sockets that can't be created for lack of descriptors, buffers or memory.
    pub socket: u32,
    /// Connections that fail without a port or a route, or by a timeout.
    pub connect: u32,
    /// Connections that can't be accepted.
    pub accept: u32,
    /// Waits after which the process is delayed by up to 150 ms.
    pub held_up: u32,
    /// The largest step of the wall clock, ms; the step changes every two seconds; 0 for none.
    pub clock_step_ms: u64,
    /// Constant offset of the wall clock, ms; negative if it is behind.
    pub clock_ahead_ms: i64,
}

/// The built library and the faults that it injects.
#[derive(Clone, Debug)]
pub struct FaultLibrary {
    path: PathBuf,
    faults: SystemFaults,
}

impl FaultLibrary {
    /// Builds the library in a folder.
    ///
    /// # Errors
    /// The system's, or the output of the compiler.
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

    /// Makes the process of a command load it; the seed decides which calls fail.
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

/// A folder whose files can't be written or synced for a while by the processes that have loaded the library. The path may also
/// be a prefix of the paths of some files.
#[derive(Debug)]
pub struct FailingFolder {
    library: FaultLibrary,
    folder: PathBuf,
    /// The folder fails for as long as this file exists.
    switch: PathBuf,
}

impl FailingFolder {
    /// A folder that does not fail yet. The library and the file that turns the fault on lie in `beside`, another folder.
    ///
    /// # Errors
    /// The system's, or the output of the compiler.
    pub fn new(folder: &Path, beside: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(beside)?;
        let library = FaultLibrary::build(beside, SystemFaults::default())?;
        Ok(FailingFolder { library, folder: folder.to_owned(), switch: beside.join("failing") })
    }

    /// Makes the process of a command load the library.
    pub fn load_into(&self, command: &mut Command) {
        self.library.load_into(command, 1);
        command.env("SANDGAP_FAILING_FOLDER", &self.folder).env("SANDGAP_FAILING_WHILE", &self.switch);
    }

    /// Makes the folder fail from now on.
    ///
    /// # Errors
    /// The system's.
    pub fn begin(&self) -> io::Result<()> {
        std::fs::write(&self.switch, b"")
    }

    /// Makes the folder writable again.
    ///
    /// # Errors
    /// The system's.
    pub fn end(&self) -> io::Result<()> {
        std::fs::remove_file(&self.switch)
    }
}
