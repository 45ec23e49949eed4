//! The processes that the lab starts, and the signals that it sends to them by their ids.

use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use endivedyke::{Code, Error, Result};
use rustix::process::{Pid, Signal, kill_process};

/// Returns the path of a program in the build folder of the current one.
///
/// # Errors
///
/// Returns code 5001 if the program is not built; `cargo build --workspace` builds all programs.
pub fn binary_path(name: &str) -> Result<PathBuf> {
    let current = std::env::current_exe()?;
    let folders = current.ancestors().skip(1).take(2);
    let found = folders
        .map(|folder| folder.join(name))
        .find(|path| path.is_file());
    let missing = || format!("{name} is not built; run `cargo build --workspace` first");
    found.ok_or_else(|| Error::new(Code::Io, missing()))
}

/// A child process, which is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program of the build folder without standard output.
    ///
    /// # Errors
    ///
    /// Returns code 5001 if it can't be started.
    pub fn start(program: &str, arguments: &[String]) -> Result<Process> {
        Self::spawn(program, arguments, Stdio::null())
    }

    /// Starts a program of the build folder with a pipe as its standard output that is never read,
    /// so that it fills.
    ///
    /// # Errors
    ///
    /// Returns code 5001 if it can't be started.
    pub fn start_with_unread_output(program: &str, arguments: &[String]) -> Result<Process> {
        Self::spawn(program, arguments, Stdio::piped())
    }

    fn spawn(program: &str, arguments: &[String], output: Stdio) -> Result<Process> {
        let child = Command::new(binary_path(program)?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .spawn()?;
        Ok(Process { child })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        let pid = Pid::from_raw(self.child.id() as i32);
        let pid = pid.ok_or_else(|| Error::new(Code::Io, "no process id"))?;
        let sent = kill_process(pid, signal);
        sent.map_err(|error| Error::new(Code::Io, error.to_string()))
    }

    /// Sends SIGTERM, upon which the process stops gracefully.
    ///
    /// # Errors
    ///
    /// Returns code 5001 if the process has ended.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Kills the process with SIGKILL, like a crash.
    ///
    /// # Errors
    ///
    /// Returns code 5001 if the process has ended.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Sends SIGHUP, upon which the process reloads its settings.
    ///
    /// # Errors
    ///
    /// Returns code 5001 if the process has ended.
    pub fn reload(&self) -> Result<()> {
        self.signal(Signal::HUP)
    }

    /// Freezes the process with SIGSTOP.
    ///
    /// # Errors
    ///
    /// Returns code 5001 if the process has ended.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes a frozen process with SIGCONT.
    ///
    /// # Errors
    ///
    /// Returns code 5001 if the process has ended.
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Waits until the process ends, without blocking other tasks, and returns whether it exited
    /// with status 0.
    ///
    /// # Errors
    ///
    /// Returns code 5001 if the process does not end within `timeout`.
    pub async fn wait(&mut self, timeout: Duration) -> Result<bool> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.success());
            }
            if Instant::now() >= deadline {
                return Err(Error::new(
                    Code::Io,
                    format!("the process did not end within {timeout:?}"),
                ));
            }
            compio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Errors are ignored: `kill` fails if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
