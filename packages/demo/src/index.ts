/** The demonstration: daemons in three failure domains, with the stand-ins. */
export {};
