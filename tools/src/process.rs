//! Processes that a tool starts, and ends again.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A process that ends with its owner.
#[derive(Debug)]
pub struct Process {
    child: Child,
    stopped: bool,
}

/// What the machine has counted for a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time, in milliseconds.
    pub cpu_ms: u64,
    /// The most memory that it held, in kilobytes.
    pub rss_kb: u64,
    /// The memory that it holds now, in kilobytes.
    pub rss_now_kb: u64,
}

impl Process {
    /// Starts a program of this workspace; its standard error goes to a file.
    ///
    /// # Errors
    ///
    /// The error of the start.
    pub fn start(program: &str, args: &[String], log: &Path) -> io::Result<Self> {
        let child = Command::new(bin_dir()?.join(program))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(log)?)
            .spawn()?;
        Ok(Self {
            child,
            stopped: false,
        })
    }

    /// Starts a program at a path; all that it says is added to a file.
    ///
    /// # Errors
    ///
    /// The error of the start.
    pub fn start_logged(program: &Path, args: &[String], log: &Path) -> io::Result<Self> {
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            child,
            stopped: false,
        })
    }

    /// Asks it to read its settings again.
    pub fn hang_up(&self) {
        self.signal("HUP");
    }

    /// The process's number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends it at once, as a crash would.
    pub fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Lets it stand still.
    pub fn freeze(&mut self) {
        self.stopped = true;
        self.signal("STOP");
    }

    /// Lets it go on.
    pub fn wake(&mut self) {
        self.stopped = false;
        self.signal("CONT");
    }

    /// Asks it to stop.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    fn signal(&self, name: &str) {
        let args = [format!("-{name}"), self.id().to_string()];
        let _ = Command::new("kill").args(args).status();
    }

    /// What the machine has counted for it.
    pub fn usage(&self) -> Usage {
        Usage {
            cpu_ms: cpu_ms(self.id()).unwrap_or(0),
            rss_kb: status_kb(self.id(), "VmHWM:").unwrap_or(0),
            rss_now_kb: status_kb(self.id(), "VmRSS:").unwrap_or(0),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The folder that holds the programs: the one of this program.
///
/// # Errors
///
/// The program's own path can't be found out.
pub fn bin_dir() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let dir = own.parent().map(Path::to_path_buf);
    let dir = dir.ok_or_else(|| io::Error::other("the program has no folder"))?;
    // A test's program is one folder further down.
    let is_deps = dir.ends_with("deps");
    Ok(if is_deps { dir.join("..") } else { dir })
}

/// Builds the programs that a tool starts, in the tool's own profile.
///
/// # Errors
///
/// The error of the build.
pub fn build_programs() -> io::Result<()> {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let mut build = Command::new(cargo);
    build.args([
        "build",
        "--quiet",
        "--bin",
        "cloverpierd",
        "--bin",
        "standin",
        "--bin",
        "cloverpier-front",
    ]);
    if !cfg!(debug_assertions) {
        build.arg("--release");
    }
    if build.status()?.success() {
        return Ok(());
    }
    Err(io::Error::other("the programs can't be built"))
}

/// Ticks of the processor clock in a second, as Linux reports them to programs.
const TICKS_PER_S: u64 = 100;

fn cpu_ms(id: u32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let after_name = stat.rsplit_once(')')?.1;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let user: u64 = fields.get(11)?.parse().ok()?;
    let system: u64 = fields.get(12)?.parse().ok()?;
    Some((user + system) * 1_000 / TICKS_PER_S)
}

fn status_kb(id: u32, field: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find(|l| l.starts_with(field))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
