//! State and types of a single request: admission, deadline, ticket and verdict. No I/O, no clock,
//! no task.

pub mod admission;
pub mod deadline;
pub mod ticket;
pub mod ticket_book;
pub mod verdict;
