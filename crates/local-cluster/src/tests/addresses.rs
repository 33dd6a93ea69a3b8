use super::*;

/// A restarted cluster listens at the addresses of the folder. With another number of controllers it chooses new ones.
#[test]
fn addresses_are_stored_and_used_again() {
    let folder = tempfile::tempdir().expect("a folder");
    let new = allocate_addresses(folder.path(), 3).expect("addresses");
    assert_eq!((new.controllers.len(), new.meshes.len()), (3, 3));
    let servers = [new.kv_store, new.cloud, new.job_store];
    let all = servers.iter().chain(&new.controllers).chain(&new.meshes);
    assert!(all.clone().all(|address| address.ip().is_loopback() && address.port() != 0), "{new:?}");
    assert_eq!(allocate_addresses(folder.path(), 3).expect("addresses"), new, "the stored addresses");

    let fewer = allocate_addresses(folder.path(), 2).expect("addresses");
    assert_eq!((fewer.controllers.len(), fewer.meshes.len()), (2, 2));
    assert_eq!(
        allocate_addresses(folder.path(), 2).expect("addresses"),
        fewer,
        "the new addresses are stored"
    );
}
