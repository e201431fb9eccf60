//! Injects faults into a running fleet.

use eyre::Result;
use http::Method;
use rustix::process::Signal;
use span_standin::{objects, relay};

use crate::{fleet::Fleet, schedule::Fault};

impl Fleet {
    /// Begins the faults.
    ///
    /// # Errors
    ///
    /// Fails if a process or a control interface cannot be reached.
    pub async fn begin_faults(&mut self, faults: &[Fault]) -> Result<()> {
        for fault in faults {
            match fault {
                Fault::Kill(router) => {
                    if let Some(mut process) = self.routers[*router].process.take() {
                        process.kill().await?;
                    }
                }
                Fault::Freeze(router) => self.signal_router(*router, Signal::STOP)?,
                Fault::Route { name, faults } => self.set_relay_faults(name, *faults).await?,
                Fault::Platform(faults) => {
                    self.platform.send_json(Method::POST, "/faults", faults).await?
                }
            }
        }
        Ok(())
    }

    /// Ends the faults and restarts killed routers.
    ///
    /// # Errors
    ///
    /// As [`Fleet::begin_faults`].
    pub async fn end_faults(&mut self, faults: &[Fault]) -> Result<()> {
        for fault in faults {
            match fault {
                Fault::Kill(router) => self.start_router(*router).await?,
                Fault::Freeze(router) => self.signal_router(*router, Signal::CONT)?,
                Fault::Route { name, .. } => {
                    self.set_relay_faults(name, relay::Faults::default()).await?;
                }
                Fault::Platform(_) => {
                    let no_faults = objects::Faults::default();
                    self.platform.send_json(Method::POST, "/faults", &no_faults).await?;
                }
            }
        }
        Ok(())
    }

    /// Sends a signal to a router; does nothing if the router does not run.
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be sent.
    pub fn signal_router(&self, router: usize, signal: Signal) -> Result<()> {
        if let Some(process) = &self.routers[router].process {
            process.signal(signal)?;
        }
        Ok(())
    }
}
