//! Six instances and their stand-ins in one process.
