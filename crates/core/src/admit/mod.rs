//! Admission: bounded queues, fairness and deadlines.
