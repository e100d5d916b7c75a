/** Runs stand-ins for the runners of an inventory in one process. */
package org.mangowall.standin.farm;
