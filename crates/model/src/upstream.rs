//! VMs and the upstreams that announce themselves on them.

use std::net::SocketAddr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::{DataCentreName, ProfileName, ServiceName, VmName};

const MAX_SLOTS: u32 = 100_000;
const MAX_CONNECTIONS: u32 = 1_000_000;

quick_error! {
    /// An announcement with a value out of range.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AnnouncementError {
        /// The number of slots is out of range.
        Slots(slots: u32) {
            display("slots must be 1 to {}, not {}", MAX_SLOTS, slots)
        }
        /// The number of connections is out of range.
        Connections(connections: u32) {
            display("connections must be 1 to {}, not {}", MAX_CONNECTIONS, connections)
        }
        /// The upstream does not run on the node's VM.
        Address(address: SocketAddr) {
            display("an upstream announces an address of its own VM, not {}", address)
        }
    }
}

/// A VM and the data centre it stands in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// Name, unique in the deployment.
    pub name: VmName,
    /// Data centre.
    pub data_centre: DataCentreName,
}

/// What an upstream says of itself to the node beside it, repeated as a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that the upstream serves.
    pub service: ServiceName,
    /// Profile that the service picked.
    pub profile: ProfileName,
    /// Address on which the upstream takes calls.
    pub address: SocketAddr,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Distinguishes one upstream process from its successor.
    pub incarnation: u64,
    /// Services that it calls.
    #[serde(default)]
    pub calls: Vec<ServiceName>,
    /// The upstream is leaving and takes no new work.
    #[serde(default)]
    pub is_leaving: bool,
}

impl Announcement {
    /// Checks the ranges.
    ///
    /// # Errors
    ///
    /// Returns the first value that is out of range.
    pub fn check(&self) -> Result<(), AnnouncementError> {
        if self.slots == 0 || self.slots > MAX_SLOTS {
            return Err(AnnouncementError::Slots(self.slots));
        }
        if self.connections == 0 || self.connections > MAX_CONNECTIONS {
            return Err(AnnouncementError::Connections(self.connections));
        }
        if !self.address.ip().is_loopback() {
            return Err(AnnouncementError::Address(self.address));
        }
        Ok(())
    }
}
