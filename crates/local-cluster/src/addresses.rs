//! The loopback addresses on which a local cluster listens. They are kept in its folder, so that a restart uses them
//! again.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::error::{LocalClusterError, io_error};

const ADDRESSES_FILE: &str = "region.json";

/// The addresses of a local cluster's servers. They are stored in a file in its folder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClusterAddresses {
    /// Address of the key-value store.
    #[serde(rename = "state")]
    pub kv_store: SocketAddr,
    /// Address of the simulated cloud.
    pub cloud: SocketAddr,
    /// Address of the job store, which serves job descriptions and task logs.
    #[serde(rename = "desk")]
    pub job_store: SocketAddr,
    /// Address of each controller for users, operators and workers.
    pub controllers: Vec<SocketAddr>,
    /// Address of each controller for the other controllers.
    pub meshes: Vec<SocketAddr>,
}

pub(crate) fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Returns a loopback address with a port that is free now.
fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind(loopback(0))?.local_addr()
}

/// Returns the addresses stored in the folder, so that clients find a restarted cluster at the same addresses.
/// Allocates and stores new ones if the folder is new or the number of controllers has changed.
pub(crate) fn allocate_addresses(
    folder: &Path,
    controllers: usize,
) -> Result<ClusterAddresses, LocalClusterError> {
    let path = folder.join(ADDRESSES_FILE);
    let file = path.display().to_string();
    if let Ok(bytes) = std::fs::read(&path) {
        let addresses: ClusterAddresses = serde_json::from_slice(&bytes)
            .map_err(|error| LocalClusterError::Json { file: file.clone(), error })?;
        if addresses.controllers.len() == controllers {
            return Ok(addresses);
        }
    }
    let free = || free_address().map_err(io_error("finding a free port"));
    let addresses = ClusterAddresses {
        kv_store: free()?,
        cloud: free()?,
        job_store: free()?,
        controllers: (0..controllers).map(|_| free()).collect::<Result<_, _>>()?,
        meshes: (0..controllers).map(|_| free()).collect::<Result<_, _>>()?,
    };
    let bytes = serde_json::to_vec_pretty(&addresses)
        .map_err(|error| LocalClusterError::Json { file: file.clone(), error })?;
    std::fs::write(&path, bytes).map_err(io_error(format!("writing {file}")))?;
    Ok(addresses)
}

#[cfg(test)]
#[path = "tests/addresses.rs"]
mod tests;
