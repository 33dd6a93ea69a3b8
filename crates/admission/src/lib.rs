//! Who gets how much when there is not enough for all. Pure: no I/O and no clock, the time comes in; what is kept is in
//! proportion to teams and classes, never to jobs or machines. docs/overload.md argues for it.

pub mod borrowed;
pub mod headroom;
pub mod pressure;
pub mod service_window;
