//! Estimates which machines have which images in their caches, so that placement can prefer these machines.
//!
//! The estimate follows the eviction order of the real caches: once the images of a machine exceed the cache size of
//! its type, the least recently used ones are dropped.

use crate::coordination::leader::Leader;
use crate::ids::{ImageIx, MachineIx};

impl Leader {
    /// Records that the machine is about to use the image, whose size is `mb` megabytes.
    pub(in crate::coordination::leader) fn record_image_use(
        &mut self,
        ix: MachineIx,
        image: ImageIx,
        mb: u64,
    ) {
        let machine = &mut self.cluster.machines[ix.index()];
        machine.images.retain(|(held, _)| *held != image);
        machine.images.push((image, mb));
        self.cluster.image_holders.entry(image).or_default().insert(ix);
        let machine_type = self.cluster.machine_types.get(&machine.machine_type);
        let cache_limit_mb = machine_type.map_or(u64::MAX, |machine_type| machine_type.image_cache_mb);
        self.evict_images(ix, cache_limit_mb);
    }

    fn evict_images(&mut self, ix: MachineIx, cache_limit_mb: u64) {
        loop {
            let images = &mut self.cluster.machines[ix.index()].images;
            let total_mb = images.iter().map(|(_, mb)| mb).sum::<u64>();
            if images.len() <= 1 || total_mb <= cache_limit_mb {
                return;
            }
            let (evicted, _) = images.remove(0);
            self.remove_image_holder(evicted, ix);
        }
    }

    /// Clears the machine's estimate, because the contents of its cache are unknown.
    pub(in crate::coordination::leader) fn forget_images(&mut self, ix: MachineIx) {
        for (image, _) in std::mem::take(&mut self.cluster.machines[ix.index()].images) {
            self.remove_image_holder(image, ix);
        }
    }

    fn remove_image_holder(&mut self, image: ImageIx, ix: MachineIx) {
        if let Some(holders) = self.cluster.image_holders.get_mut(&image) {
            holders.remove(&ix);
        }
    }
}
