//! Choice of the instances of a region that the directory lists.

use std::net::SocketAddr;

/// A ready instance, as the directory sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// Address for callers.
    pub address: SocketAddr,
    /// Whether it reaches none of the upstreams of some service.
    pub is_cut_off: bool,
}

/// Addresses of a region's instances for callers. Leaves out those that do not reach all services, since each
/// of their requests takes a way over another instance; but not if fewer than half would remain, whom the
/// callers of all could overload.
pub fn listed_addresses(instances: &[ListedInstance]) -> Vec<SocketAddr> {
    let reaching = instances.iter().filter(|instance| !instance.is_cut_off);
    let reaching: Vec<SocketAddr> = reaching.map(|instance| instance.address).collect();
    if reaching.len() * 2 >= instances.len() {
        return reaching;
    }
    instances.iter().map(|instance| instance.address).collect()
}
