//! The store on disks with power loss, torn writes, no space, I/O errors and
//! corruption.

mod cost;
mod crash;
mod damage;
mod disk_faults;
mod legacy;
mod sim_disk;
mod state;
mod workload;
