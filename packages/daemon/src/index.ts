/** galenavalved: the entry, scheduler and lease keeper roles in one program. */
export {};
