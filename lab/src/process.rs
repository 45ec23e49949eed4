//! Processes that the lab starts, and signals to them, always by their ids.

use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use endivedyke::{Code, Error, Result};
use rustix::process::{Pid, Signal, kill_process};

/// Returns the path of a program that was built beside this one.
///
/// # Errors
///
/// Returns code 5001 where it was not built; `cargo build --workspace` builds all.
pub fn binary_path(name: &str) -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folders = own.ancestors().skip(1).take(2);
    let found = folders
        .map(|folder| folder.join(name))
        .find(|path| path.is_file());
    let missing = || format!("{name} is not built; run `cargo build --workspace` first");
    found.ok_or_else(|| Error::new(Code::Io, missing()))
}

/// A process that ends, if need be by a kill, when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program that was built beside this one; its standard output is not read.
    ///
    /// # Errors
    ///
    /// Returns code 5001 where it can't be started.
    pub fn start(program: &str, arguments: &[String]) -> Result<Process> {
        Self::spawn(program, arguments, Stdio::null())
    }

    /// Starts such a program with a pipe as its standard output that nobody reads.
    ///
    /// # Errors
    ///
    /// Returns code 5001 where it can't be started.
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

    /// Returns the process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        let pid = Pid::from_raw(self.child.id() as i32);
        let pid = pid.ok_or_else(|| Error::new(Code::Io, "no process id"))?;
        let sent = kill_process(pid, signal);
        sent.map_err(|error| Error::new(Code::Io, error.to_string()))
    }

    /// Asks the process to stop in good order.
    ///
    /// # Errors
    ///
    /// Returns code 5001 where the process is gone.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Kills the process as a crash would.
    ///
    /// # Errors
    ///
    /// Returns code 5001 where the process is gone.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Tells the process that its settings have changed.
    ///
    /// # Errors
    ///
    /// Returns code 5001 where the process is gone.
    pub fn reload(&self) -> Result<()> {
        self.signal(Signal::HUP)
    }

    /// Freezes the process.
    ///
    /// # Errors
    ///
    /// Returns code 5001 where the process is gone.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets a frozen process go on.
    ///
    /// # Errors
    ///
    /// Returns code 5001 where the process is gone.
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Waits for the end without blocking other tasks and tells whether it came in good order.
    ///
    /// # Errors
    ///
    /// Returns code 5001 where it does not come within `timeout`.
    pub async fn wait(&mut self, timeout: Duration) -> Result<bool> {
        let until = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.success());
            }
            if Instant::now() >= until {
                return Err(Error::new(Code::Io, "the process does not end"));
            }
            compio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that has ended already can't be killed, which is what is wanted.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
