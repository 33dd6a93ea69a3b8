//! Where the parts of a region listen: loopback addresses that stay the same while its folder is there.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::error::{LocalClusterError, io_error};

const ADDRESSES_FILE: &str = "region.json";

/// Where the parts of a region listen. Kept in a file of its folder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClusterAddresses {
    /// The kv store.
    #[serde(rename = "state")]
    pub kv_store: SocketAddr,
    /// The cloud.
    pub cloud: SocketAddr,
    /// Descriptions and logs.
    #[serde(rename = "desk")]
    pub job_store: SocketAddr,
    /// The controllers' interface for users, operators and workers.
    pub controllers: Vec<SocketAddr>,
    /// Where controllers listen for one another.
    pub meshes: Vec<SocketAddr>,
}

pub(crate) fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// An address that nobody listens at now.
fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind(loopback(0))?.local_addr()
}

/// The addresses that the folder's region had before, so that clients find it again; new ones in a new folder, or for another
/// number of controllers.
pub(crate) fn allocate_addresses(
    folder: &Path,
    controllers: usize,
) -> Result<ClusterAddresses, LocalClusterError> {
    let path = folder.join(ADDRESSES_FILE);
    let file = path.display().to_string();
    if let Ok(bytes) = std::fs::read(&path) {
        let addresses: ClusterAddresses = serde_json::from_slice(&bytes)
            .map_err(|error| LocalClusterError::Addresses { file: file.clone(), error })?;
        if addresses.controllers.len() == controllers {
            return Ok(addresses);
        }
    }
    let free = || free_address().map_err(io_error("a free port"));
    let addresses = ClusterAddresses {
        kv_store: free()?,
        cloud: free()?,
        job_store: free()?,
        controllers: (0..controllers).map(|_| free()).collect::<Result<_, _>>()?,
        meshes: (0..controllers).map(|_| free()).collect::<Result<_, _>>()?,
    };
    let bytes = serde_json::to_vec_pretty(&addresses)
        .map_err(|error| LocalClusterError::Addresses { file: file.clone(), error })?;
    std::fs::write(&path, bytes).map_err(io_error(file))?;
    Ok(addresses)
}
