//! The store on disks that lose power, tear writes, fill, fail and rot.

mod cost;
mod crash;
mod damage;
mod legacy;
mod sim_disk;
mod state;
mod trouble;
mod work;
