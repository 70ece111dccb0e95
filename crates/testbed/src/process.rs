//! Child processes of a test or measurement. They are killed when dropped.

use std::env;
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use quick_error::quick_error;
use rand::Rng;
use rustix::process::{Pid, Signal, kill_process};

const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Ports of test programs, below the system's range of ephemeral ports.
const PORT_RANGE: Range<u16> = 10_000..32_000;
const PORTS_PER_BLOCK: u16 = 200;
/// Maximum number of attempts to reserve a block with an unused port.
const PORT_ATTEMPTS: usize = 1_000;

quick_error! {
    /// Failure of the test harness.
    #[derive(Debug)]
    pub enum ProcessError {
        /// An operation on a file or process failed.
        Io(context: String, source: io::Error) {
            display("{}: {}", context, source)
        }
        /// The programs could not be built.
        Build(status: ExitStatus) {
            display("cargo build ended with {}", status)
        }
        /// A process did not end before the timeout.
        StillRunning(name: String) {
            display("{} did not end in time", name)
        }
        /// A condition did not hold before the timeout.
        Timeout(condition: String) {
            display("timed out waiting for: {}", condition)
        }
        /// A signal could not be sent.
        Signal(name: String, source: rustix::io::Errno) {
            display("cannot send a signal to {}: {}", name, source)
        }
    }
}

/// A child process whose output goes to a log file.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log_path: PathBuf,
}

impl Process {
    /// Starts a program. Its output is appended to the file `{name}.log` in the log directory.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be opened or the program cannot be started.
    pub fn start(
        name: impl Into<String>,
        program: &Path,
        arguments: impl IntoIterator<Item = String>,
        log_dir: &Path,
    ) -> Result<Self, ProcessError> {
        Self::start_with_environment(name, program, arguments, [], log_dir)
    }

    /// Starts a program as [`Process::start`] does, with additional environment variables.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be opened or the program cannot be started.
    pub fn start_with_environment(
        name: impl Into<String>,
        program: &Path,
        arguments: impl IntoIterator<Item = String>,
        environment: impl IntoIterator<Item = (String, String)>,
        log_dir: &Path,
    ) -> Result<Self, ProcessError> {
        let name = name.into();
        let io_error = |error| ProcessError::Io(name.clone(), error);
        let log_path = log_dir.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(&log_path).map_err(io_error)?;
        let child = Command::new(program)
            .args(arguments)
            .envs(environment)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(io_error)?)
            .stderr(log)
            .spawn()
            .map_err(io_error)?;
        Ok(Self { name, child, log_path })
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the name under which the process was started.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the output of the process so far, standard output and standard error.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// Requests a graceful stop with `SIGTERM`.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn terminate(&self) -> Result<(), ProcessError> {
        self.signal(Signal::TERM)
    }

    /// Suspends the process with `SIGSTOP`.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn freeze(&self) -> Result<(), ProcessError> {
        self.signal(Signal::STOP)
    }

    /// Resumes a suspended process with `SIGCONT`.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn thaw(&self) -> Result<(), ProcessError> {
        self.signal(Signal::CONT)
    }

    /// Kills the process with `SIGKILL` and waits for its end.
    pub fn kill(&mut self) {
        // Both calls fail only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether the process has not ended yet.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the end of the process and returns its exit status.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not end before the timeout.
    pub fn wait(&mut self, timeout: Duration) -> Result<ExitStatus, ProcessError> {
        let started = Instant::now();
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return Ok(status),
                Ok(None) if started.elapsed() > timeout => {
                    return Err(ProcessError::StillRunning(self.name.clone()));
                }
                Ok(None) => thread::sleep(POLL_INTERVAL),
                Err(error) => return Err(ProcessError::Io(self.name.clone(), error)),
            }
        }
    }

    fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let Some(pid) = Pid::from_raw(self.child.id() as i32) else {
            return Ok(());
        };
        kill_process(pid, signal).map_err(|error| ProcessError::Signal(self.name.clone(), error))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A block of ports that this process has reserved. It stays bound to the first port, so that other
/// test processes, which bind the first port of a block too, cannot reserve the same block.
struct PortBlock {
    _guard: TcpListener,
    remaining_ports: Range<u16>,
}

impl PortBlock {
    fn reserve() -> Option<Self> {
        let blocks = PORT_RANGE.len() as u16 / PORTS_PER_BLOCK;
        let start = PORT_RANGE.start + rand::rng().random_range(0..blocks) * PORTS_PER_BLOCK;
        let guard = TcpListener::bind((Ipv4Addr::LOCALHOST, start)).ok()?;
        Some(Self { _guard: guard, remaining_ports: start + 1..start + PORTS_PER_BLOCK })
    }

    fn next_free(&mut self) -> Option<SocketAddr> {
        let mut addresses =
            self.remaining_ports.by_ref().map(|port| (Ipv4Addr::LOCALHOST, port).into());
        addresses.find(|address: &SocketAddr| TcpListener::bind(address).is_ok())
    }
}

/// Returns an unused loopback address that no other test process will be given.
///
/// The port is below the system's range of ephemeral ports and in a block that this process has
/// reserved. So neither an outgoing connection nor another test takes it before the program for
/// which it is meant binds it.
///
/// # Errors
///
/// Returns an error if no unused port is found.
pub fn free_address() -> Result<SocketAddr, ProcessError> {
    static BLOCKS: Mutex<Vec<PortBlock>> = Mutex::new(Vec::new());
    let mut blocks = BLOCKS.lock().unwrap_or_else(PoisonError::into_inner);
    for _ in 0..PORT_ATTEMPTS {
        if let Some(address) = blocks.last_mut().and_then(PortBlock::next_free) {
            return Ok(address);
        }
        blocks.extend(PortBlock::reserve());
    }
    Err(ProcessError::Timeout("free port".to_owned()))
}

/// Polls a condition until it holds.
///
/// # Errors
///
/// Returns an error that names the condition if it does not hold before the timeout.
pub fn wait_until(
    description: impl Into<String>,
    timeout: Duration,
    mut condition: impl FnMut() -> bool,
) -> Result<(), ProcessError> {
    let started = Instant::now();
    while !condition() {
        if started.elapsed() > timeout {
            return Err(ProcessError::Timeout(description.into()));
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Builds the programs, once in each process, and returns their directory. They are built with the
/// same Cargo profile, debug or release, as the caller.
///
/// # Errors
///
/// Returns an error if the programs cannot be built.
pub fn program_dir() -> Result<PathBuf, ProcessError> {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    if let Some(dir) = BUILT.get() {
        return Ok(dir.clone());
    }
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut build = Command::new(option_env!("CARGO").unwrap_or("cargo"));
    build.current_dir(&root).args(["build", "--quiet", "--workspace", "--bins", "--locked"]);
    if !cfg!(debug_assertions) {
        build.arg("--release");
    }
    let status =
        build.status().map_err(|error| ProcessError::Io("cargo build".to_owned(), error))?;
    if !status.success() {
        return Err(ProcessError::Build(status));
    }
    let profile = if cfg!(debug_assertions) { "debug" } else { "release" };
    let target = env::var_os("CARGO_TARGET_DIR").map_or_else(|| root.join("target"), PathBuf::from);
    let dir = target.join(profile);
    Ok(BUILT.get_or_init(|| dir).clone())
}
