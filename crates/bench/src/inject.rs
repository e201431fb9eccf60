//! Begins and ends faults of a running fleet.

use eyre::Result;
use http::Method;
use rustix::process::Signal;
use span_standin::{objects, relay};

use crate::{fleet::Fleet, schedule::Fault};

impl Fleet {
    /// Puts faults in force.
    ///
    /// # Errors
    ///
    /// Fails if a process or a control interface cannot be reached.
    pub async fn begin(&mut self, faults: &[Fault]) -> Result<()> {
        for fault in faults {
            match fault {
                Fault::Kill(router) => {
                    if let Some(mut process) = self.routers[*router].process.take() {
                        process.kill().await?;
                    }
                }
                Fault::Freeze(router) => self.signal_router(*router, Signal::STOP)?,
                Fault::Route { name, faults } => self.relay_faults(name, *faults).await?,
                Fault::Platform(faults) => {
                    self.platform.tell(Method::POST, "/faults", faults).await?
                }
            }
        }
        Ok(())
    }

    /// Ends faults; a killed router starts again.
    ///
    /// # Errors
    ///
    /// As [`Fleet::begin`].
    pub async fn end(&mut self, faults: &[Fault]) -> Result<()> {
        for fault in faults {
            match fault {
                Fault::Kill(router) => self.start_router(*router).await?,
                Fault::Freeze(router) => self.signal_router(*router, Signal::CONT)?,
                Fault::Route { name, .. } => {
                    self.relay_faults(name, relay::Faults::default()).await?;
                }
                Fault::Platform(_) => {
                    let none = objects::Faults::default();
                    self.platform.tell(Method::POST, "/faults", &none).await?;
                }
            }
        }
        Ok(())
    }

    /// Sends a signal to a router that runs.
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
